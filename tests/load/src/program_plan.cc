#include "program_plan.h"

#include <algorithm>
#include <utility>

namespace vanillalever::load {
namespace {

// One in this many programs generates this many times more than the rest.
constexpr std::uint64_t kLongProgramOneIn = 25;
constexpr std::int64_t kLongProgramFactor = 8;

// Pools and operations of a workload.
struct Names {
  std::string model_pool;
  std::string service_pool;
  // Repeatable look-up.
  std::string lookup;
};

const Names& NamesOf(Workload workload) {
  static const Names casca{"agent-models", "ticket-app", "read_lot"};
  static const Names tan{"model-bench", "shop-app", "read_stock"};
  return workload == Workload::kCasca ? casca : tan;
}

// Adds turns of one program.
class Builder {
 public:
  Builder(Workload workload, base::Random& random)
      : names_(NamesOf(workload)),
        random_(random),
        factor_(random.Below(kLongProgramOneIn) == 0 ? kLongProgramFactor : 1) {
  }

  // Model call that generates between half and one and a half of `tokens`.
  void Think(std::size_t prompt_bytes, std::int64_t tokens) {
    std::int64_t drawn =
        tokens / 2 + static_cast<std::int64_t>(
                         random_.Below(static_cast<std::uint64_t>(tokens) + 1));
    turns_.push_back({true, names_.model_pool, "chat", true, prompt_bytes,
                      std::max<std::int64_t>(2, drawn * factor_),
                      base::milliseconds(random_.Below(20))});
  }

  // Look-up with a tool pause behind it.
  void Lookup() { Service(names_.lookup, true); }

  // Call that must run at most once.
  void Act(const std::string& operation) { Service(operation, false); }

  std::vector<PlannedTurn> Take() { return std::move(turns_); }

 private:
  void Service(const std::string& operation, bool repeatable) {
    turns_.push_back({false, names_.service_pool, operation, repeatable, 0, 0,
                      base::milliseconds(20 + random_.Below(100))});
  }

  const Names& names_;
  base::Random& random_;
  const std::int64_t factor_;
  std::vector<PlannedTurn> turns_;
};

// Sub-agents that look something up and report, in a row of think and look-up.
void AddChildren(Workload workload,
                 PlannedProgram& program,
                 std::uint64_t count,
                 base::Random& random) {
  for (std::uint64_t i = 0; i < count; ++i) {
    Builder builder(workload, random);
    builder.Think(200, 20);
    builder.Lookup();
    builder.Think(100, 30);
    program.children.push_back({program.key + "-agent" + std::to_string(i),
                                program.program_class,
                                builder.Take(),
                                {}});
  }
}

void Review(Builder& builder, std::uint64_t rounds, std::int64_t tokens) {
  for (std::uint64_t i = 0; i < rounds; ++i) {
    builder.Think(400, tokens);
    builder.Lookup();
  }
  builder.Think(200, tokens);
}

PlannedProgram DrawCasca(const std::string& key, base::Random& random) {
  PlannedProgram program{key, "quick-check", {}, {}};
  Builder builder(Workload::kCasca, random);
  std::uint64_t draw = random.Below(100);
  if (draw < 60) {
    builder.Lookup();
    builder.Think(300, 20);
  } else if (draw < 80) {
    program.program_class = "quality-review";
    Review(builder, 3 + random.Below(4), 60);
    AddChildren(Workload::kCasca, program, random.Below(3), random);
  } else {
    program.program_class = "settlement";
    builder.Think(300, 20);
    builder.Act("record_weighing");
    builder.Act("enter_lot");
    builder.Think(200, 20);
    builder.Act("pay_grower");
    builder.Think(100, 10);
  }
  program.turns = builder.Take();
  return program;
}

PlannedProgram DrawTan(const std::string& key, base::Random& random) {
  PlannedProgram program{key, "repair-quote", {}, {}};
  Builder builder(Workload::kTan, random);
  std::uint64_t draw = random.Below(100);
  if (draw < 65) {
    builder.Think(300, 25);
    builder.Lookup();
    builder.Think(100, 25);
  } else if (draw < 85) {
    program.program_class = "parts-chase";
    Review(builder, 5 + random.Below(6), 80);
    AddChildren(Workload::kTan, program, 1 + random.Below(3), random);
  } else {
    program.program_class = "after-sales";
    builder.Think(300, 20);
    builder.Act("refund");
    builder.Act("book_courier");
    builder.Think(100, 10);
  }
  program.turns = builder.Take();
  return program;
}

}  // namespace

std::size_t PlannedProgram::size() const {
  std::size_t count = 1;
  for (const PlannedProgram& child : children)
    count += child.size();
  return count;
}

std::int64_t PlannedProgram::budget() const {
  // Bytes of one message's JSON form around its content, and per generated
  // token.
  constexpr std::int64_t kMessageBytes = 100;
  constexpr std::int64_t kBytesPerToken = 8;
  std::int64_t conversation = 0;
  std::int64_t total = 0;
  for (const PlannedTurn& turn : turns) {
    conversation += kMessageBytes +
                    static_cast<std::int64_t>(turn.prompt_bytes) +
                    turn.output_tokens * kBytesPerToken;
    total += conversation;
  }
  for (const PlannedProgram& child : children)
    total += child.budget();
  return total;
}

PlannedProgram DrawProgram(Workload workload,
                           const std::string& key,
                           base::Random& random) {
  return workload == Workload::kCasca ? DrawCasca(key, random)
                                      : DrawTan(key, random);
}

}  // namespace vanillalever::load
