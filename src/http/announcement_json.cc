#include "http/announcement_json.h"

#include "http/object_reader.h"

namespace qs {
namespace {

constexpr uint32_t kMaxSlots = 1024;
constexpr uint32_t kNoSlots = kMaxSlots + 1;  // Stands for a missing number.
constexpr uint32_t kMaxConnections = 65'535;

}  // namespace

Checked<Announcement> ParseAnnouncement(const std::string& body) {
  const Checked<nlohmann::json> document = ParseObject(body);
  if (!document) return tl::unexpected(document.error());
  Findings findings;
  ObjectReader reader(*document, &findings);
  Announcement announcement;
  const std::string text = reader.Text("address", true);
  const Result<Address> address = Address::Parse(text);
  if (address) {
    announcement.address = *address;
  } else {
    reader.Add("address", "must be IP:port");
  }
  announcement.services = reader.Texts("services");
  announcement.slots = reader.Number("slots", 0, kMaxSlots, kNoSlots);
  if (announcement.slots == kNoSlots) reader.Add("slots", "is required");
  announcement.connections =
      reader.Number("connections", 1, kMaxConnections, 0);
  announcement.draining = reader.Flag("draining");
  reader.RejectUnknown();
  if (!findings.empty()) return tl::unexpected(std::move(findings));
  return announcement;
}

}  // namespace qs
