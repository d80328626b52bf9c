#include "lib/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>

#include <thread>

extern char** environ;

namespace qs::test {
namespace {

constexpr Millis kPoll{5};

}  // namespace

std::unique_ptr<Process> Process::Start(const std::vector<std::string>& command,
                                        const std::string& log) {
  std::vector<char*> argv;
  argv.reserve(command.size() + 1);
  for (const std::string& word : command) {
    argv.push_back(const_cast<char*>(word.c_str()));
  }
  argv.push_back(nullptr);
  posix_spawn_file_actions_t files;
  posix_spawn_file_actions_init(&files);
  constexpr int kFlags = O_WRONLY | O_CREAT | O_APPEND;
  posix_spawn_file_actions_addopen(&files, 1, log.c_str(), kFlags, 0644);
  posix_spawn_file_actions_adddup2(&files, 1, 2);
  // A connection that the new process inherited would outlive its close here.
  posix_spawn_file_actions_addclosefrom_np(&files, 3);
  pid_t pid = 0;
  const int error =
      posix_spawn(&pid, argv[0], &files, nullptr, argv.data(), environ);
  posix_spawn_file_actions_destroy(&files);
  if (error != 0) return nullptr;
  return std::unique_ptr<Process>(new Process(pid));
}

Process::~Process() { Kill(); }

void Process::Signal(int signal) const {
  if (!ended_) kill(pid_, signal);
}

bool Process::running() {
  if (ended_) return false;
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) != pid_) return true;
  ended_ = true;
  exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : -1;
  return false;
}

int Process::Wait(Millis timeout) {
  const Instant end = Clock::now() + timeout;
  while (running()) {
    if (Clock::now() >= end) return -2;
    std::this_thread::sleep_for(kPoll);
  }
  return exit_code_;
}

void Process::Kill() {
  Signal(SIGKILL);
  Signal(SIGCONT);
  Wait(Millis(10'000));
}

}  // namespace qs::test
