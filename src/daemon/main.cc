// The daemon: one process of the system, in the role that its settings name.

#include <CLI/CLI.hpp>
#include <asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>

#include "base/log.h"
#include "base/version.h"
#include "kernel/kernel.h"
#include "settings/settings.h"

namespace {

constexpr int kExitOk = 0;
constexpr int kExitBadSettings = 2;
constexpr int kExitCannotStart = 3;
constexpr int kExitWorkCutOff = 4;
constexpr qs::Millis kStopTick{20};
// Interval at which the settings file is checked for changes that no signal
// reported.
constexpr qs::Millis kFileCheckInterval{2000};

// Runs a role until a signal, then stops it gracefully.
class Daemon {
 public:
  Daemon(qs::Settings settings, std::string path)
      : path_(std::move(path)),
        kernel_(std::move(settings)),
        signals_(kernel_.io, SIGTERM, SIGINT),
        reload_signal_(kernel_.io, SIGHUP) {}

  int Run() {
    const qs::Settings& settings = kernel_.settings;
    role_ = qs::RoleRegistry::Instance().Make(settings.role, &kernel_);
    const std::error_code error = role_->Start();
    if (error) {
      qs::Log(qs::LogLevel::kError, "start_failed",
              {{"error", error.message()},
               {"listen", settings.listen.ToString()},
               {"http", settings.http.ToString()}});
      return kExitCannotStart;
    }
    qs::Log(qs::LogLevel::kInfo, "started",
            {{"role", settings.role},
             {"listen", settings.listen.ToString()},
             {"http", settings.http.ToString()},
             {"zone", settings.zone},
             {"incarnation", std::to_string(kernel_.incarnation.value)}});
    signals_.async_wait([this](std::error_code e, int) {
      if (!e) BeginStop();
    });
    AwaitReload();
    file_text_ = ReadFile();
    kernel_.timers.Subscribe(kFileCheckInterval, [this](qs::Instant) {
      if (ReadFile() != file_text_) Reload("file_changed");
    });
    kernel_.io.run();
    return exit_code_;
  }

 private:
  void AwaitReload() {
    reload_signal_.async_wait([this](std::error_code e, int) {
      if (e) return;
      Reload("signal");
      AwaitReload();
    });
  }

  std::string ReadFile() const {
    std::ifstream stream(path_, std::ios::binary);
    std::ostringstream text;
    text << stream.rdbuf();
    return text.str();
  }

  // Invalid settings are logged and ignored: the process keeps its present
  // settings.
  void Reload(const char* cause) {
    file_text_ = ReadFile();
    const qs::Checked<qs::Settings> settings =
        qs::ParseSettings(path_, file_text_);
    if (!settings) {
      qs::Log(qs::LogLevel::kError, "reload_refused",
              {{"cause", cause}, {"findings", settings.error().ToText()}});
      return;
    }
    role_->Reload(*settings);
    qs::Log(qs::LogLevel::kInfo, "reloaded", {{"cause", cause}});
  }

  void BeginStop() {
    qs::Log(qs::LogLevel::kInfo, "stopping", {});
    stop_started_ = qs::Clock::now();
    role_->BeginStop();
    kernel_.timers.Subscribe(kStopTick,
                             [this](qs::Instant now) { CheckStop(now); });
  }

  void CheckStop(qs::Instant now) {
    const bool is_idle = role_->IsIdle();
    const bool is_overdue =
        now - stop_started_ >= kernel_.settings.stop_timeout;
    if (!is_idle && !is_overdue) return;
    exit_code_ = is_idle ? kExitOk : kExitWorkCutOff;
    kernel_.timers.StopAll();
    role_->Finish();
    qs::Log(qs::LogLevel::kInfo, "stopped",
            {{"cut_off_work", is_idle ? "no" : "yes"}});
    kernel_.io.stop();
  }

  std::string path_;
  // Contents of the settings file when it was last read.
  std::string file_text_;
  qs::Kernel kernel_;
  asio::signal_set signals_;
  asio::signal_set reload_signal_;
  std::unique_ptr<qs::RolePlugin> role_;
  qs::Instant stop_started_;
  int exit_code_ = kExitOk;
};

}  // namespace

int main(int argc, char** argv) {
  CLI::App app{
      "quetzalspindled: one process of the quetzalspindle dispatcher.\n"
      "SIGTERM and SIGINT stop it gracefully: it takes no new work, answers "
      "all "
      "work in progress and exits with 0.\n"
      "Exit codes: 0 stopped, 2 bad settings or arguments, 3 cannot start, 4 "
      "stopped with work cut off."};
  std::string path;
  std::string role;
  bool check = false;
  bool reference = false;
  app.set_version_flag("--version", qs::kVersion);
  app.add_option("-c,--config", path, "settings file (INI)");
  app.add_option("--role", role, "role; must agree with the settings")
      ->check(CLI::IsMember({"entry", "guard", "job_entry", "job_guard"}));
  app.add_flag("--check", check,
               "check the settings, report every fault, exit");
  app.add_flag("--print-settings", reference,
               "print a reference of all settings and exit");
  try {
    app.parse(argc, argv);
  } catch (const CLI::ParseError& error) {
    return app.exit(error) == 0 ? kExitOk : kExitBadSettings;
  }
  if (reference) {
    std::cout << qs::SettingsReference();
    return kExitOk;
  }
  if (path.empty()) {
    std::cerr << "--config: required\n";
    return kExitBadSettings;
  }
  qs::Checked<qs::Settings> settings = qs::LoadSettings(path);
  if (!settings) {
    std::cerr << settings.error().ToText();
    return kExitBadSettings;
  }
  if (!role.empty() && role != settings->role) {
    std::cerr << "--role: the settings say " << settings->role << "\n";
    return kExitBadSettings;
  }
  if (check) {
    std::cout << path << ": ok\n";
    return kExitOk;
  }
  std::signal(SIGPIPE, SIG_IGN);
  qs::InitLog(settings->log_level, settings->listen.ToString());
  Daemon daemon(std::move(*settings), path);
  const int exit_code = daemon.Run();
  // All work is done and every log line is flushed. Skips all destructors: that
  // of `daemon` would restore the default action of signals, so that a further
  // one kills the process, and those of libraries wait for their own threads
  // and could exceed the stop timeout.
  std::quick_exit(exit_code);
}
