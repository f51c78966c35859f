#include "child_process.h"

#include <fcntl.h>
#include <spawn.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <cerrno>
#include <csignal>
#include <system_error>

extern char** environ;

namespace vanillalever::fakes {
namespace {

constexpr int kSignalExitBase = 128;

void ThrowIfError(int error, const std::string& operation) {
  if (error != 0)
    throw std::system_error(error, std::generic_category(), operation);
}

}  // namespace

ChildProcess::ChildProcess(const std::string& program,
                           const std::vector<std::string>& arguments) {
  std::array<int, 2> pipe_fds{};
  ThrowIfError(::pipe2(pipe_fds.data(), O_CLOEXEC) == 0 ? 0 : errno, "pipe");
  stdout_fd_ = pipe_fds[0];
  std::vector<std::string> argument_texts = {program};
  argument_texts.insert(argument_texts.end(), arguments.begin(),
                        arguments.end());
  std::vector<char*> argv;
  argv.reserve(argument_texts.size() + 1);
  for (std::string& text : argument_texts)
    argv.push_back(text.data());
  argv.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_adddup2(&actions, pipe_fds[1], STDOUT_FILENO);
  int error = posix_spawn(&pid_, program.c_str(), &actions, nullptr,
                          argv.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  ::close(pipe_fds[1]);
  if (error != 0)
    ::close(stdout_fd_);
  ThrowIfError(error, program);
}

ChildProcess::~ChildProcess() {
  Signal(SIGKILL);
  Wait();
  ::close(stdout_fd_);
}

std::string ChildProcess::WaitForLine(const std::string& prefix) {
  while (true) {
    for (std::size_t end = buffered_output_.find('\n');
         end != std::string::npos; end = buffered_output_.find('\n')) {
      std::string line = buffered_output_.substr(0, end);
      buffered_output_.erase(0, end + 1);
      if (line.starts_with(prefix))
        return line.substr(prefix.size());
    }
    std::array<char, 4096> buffer{};
    ssize_t size = ::read(stdout_fd_, buffer.data(), buffer.size());
    if (size <= 0)
      return "";
    buffered_output_.append(buffer.data(), static_cast<std::size_t>(size));
  }
}

void ChildProcess::Signal(int signal) {
  if (!reaped_)
    ::kill(pid_, signal);
}

int ChildProcess::Wait() {
  if (reaped_)
    return exit_code_;
  int status = 0;
  while (::waitpid(pid_, &status, 0) < 0 && errno == EINTR)
    continue;
  reaped_ = true;
  exit_code_ = WIFSIGNALED(status) ? kSignalExitBase + WTERMSIG(status)
                                   : WEXITSTATUS(status);
  return exit_code_;
}

}  // namespace vanillalever::fakes
