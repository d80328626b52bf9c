#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "quetzalspindle/address.h"
#include "quetzalspindle/result.h"
#include "quetzalspindle/time.h"

namespace qs {

// All settings of the daemon. The table in settings.cc defines the section,
// key, range, default and meaning of each.
struct Settings {
  std::string role;
  Address listen;
  Address http;
  std::string zone;
  std::string log_level;
  Millis stop_timeout{0};

  std::string deployment;

  Address callers;
  Address readiness;
  uint32_t max_held_jobs = 0;
  uint32_t max_tasks_of_job = 0;
  Millis stop_accepting_after{0};

  // Limits on clients.
  uint32_t memory_mb = 0;
  uint32_t max_line_bytes = 0;
  uint32_t max_header_bytes = 0;
  uint32_t max_headers = 0;
  uint32_t max_other_body_bytes = 0;
  uint32_t max_announcement_bytes = 0;
  Millis header_timeout{0};
  Millis body_gap_timeout{0};
  Millis request_timeout{0};
  Millis idle_timeout{0};
  uint32_t receive_buffer_bytes = 0;
  uint32_t max_intake_kib = 0;
  uint32_t ordinary_kib = 0;
  uint32_t ordinary_percent = 0;
  uint32_t descriptors = 0;
  uint32_t max_connections = 0;
  uint32_t max_connections_of_address = 0;
  uint32_t max_answer_kib = 0;
  uint32_t max_frame_kib = 0;
  uint32_t max_unsent_kib = 0;
  uint32_t max_peers = 0;
  uint32_t max_unnamed_peers = 0;

  Address announcements;
  Address worker;
  Millis worker_lease{0};
  uint32_t separate_interfering = 0;

  Address store;
  Millis store_timeout{0};

  std::vector<Address> seeds;
  uint32_t seed_port = 0;
  Millis gossip_interval{0};
  uint32_t gossip_fanout = 0;
  uint32_t gossip_records = 0;
  uint32_t guard_links = 0;
  Millis suspect_after{0};

  std::string platform_endpoint;
  Millis platform_timeout{0};

  uint32_t entry_threads = 0;
  uint32_t id_block = 0;
  uint32_t max_body_bytes = 0;
  Millis home_lost_after{0};

  std::string worker_kind;
  std::string placement;
  uint32_t queue_per_slot = 0;
  uint32_t max_waiting_tasks = 0;
  uint32_t max_jobs = 0;
  Millis answer_retention{0};
  Millis id_lifetime{0};
  Millis max_deadline{0};
  Millis executor_lost_after{0};
  Millis announcement_ttl{0};
  uint32_t breaker_failures = 0;
  Millis breaker_pause{0};
  Millis backend_idle_limit{0};
};

// Parses and checks an INI text. `file` is its name in the findings. On
// failure, reports all faults: lines that are not valid INI, unknown and
// repeated keys, values of the wrong type or out of range, and missing required
// keys.
Checked<Settings> ParseSettings(const std::string& file,
                                const std::string& text);

// Parses the file at `path` as ParseSettings does.
Checked<Settings> LoadSettings(const std::string& path);

// Returns a reference of all keys: an INI file with the defaults, in which a
// comment describes each key.
std::string SettingsReference();

}  // namespace qs
