#include "vanillalever/base/random.h"

#include "vanillalever/base/hash.h"

namespace vanillalever::base {

std::string RandomId() {
  std::random_device device;
  std::string text;
  for (int i = 0; i < 4; ++i)
    text += HexString(device(), 8);
  return text;
}

}  // namespace vanillalever::base
