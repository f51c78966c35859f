#ifndef VANILLALEVER_FAKES_CHILD_PROCESS_H_
#define VANILLALEVER_FAKES_CHILD_PROCESS_H_

#include <sys/types.h>

#include <string>
#include <vector>

namespace vanillalever::fakes {

// A child process of a test. The destructor kills it and waits for its exit.
class ChildProcess {
 public:
  // Starts `program` with its standard output as a pipe.
  ChildProcess(const std::string& program,
               const std::vector<std::string>& arguments);
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  // Blocks until the process prints a line that starts with `prefix` and
  // returns the rest of it; an empty string if the output ends first.
  std::string WaitForLine(const std::string& prefix);

  // Sends a signal unless the process was already reaped.
  void Signal(int signal);

  // Blocks until the process ends. Returns its exit code, or 128 plus the
  // number of the signal that ended it.
  int Wait();

  pid_t pid() const { return pid_; }

 private:
  pid_t pid_ = -1;
  int stdout_fd_ = -1;
  // Output that was read but not yet returned as lines.
  std::string buffered_output_;
  bool reaped_ = false;
  int exit_code_ = 0;
};

}  // namespace vanillalever::fakes

#endif  // VANILLALEVER_FAKES_CHILD_PROCESS_H_
