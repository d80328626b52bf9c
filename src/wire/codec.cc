#include "wire/codec.h"

#include <flatbuffers/flatbuffers.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <limits>
#include <string_view>
#include <utility>

#include "wire/frame.generated.h"

namespace qs {
namespace {

using Builder = flatbuffers::FlatBufferBuilder;

template <typename T>
using Offset = flatbuffers::Offset<T>;

constexpr uint8_t kMaxRole = static_cast<uint8_t>(Role::kGuard);
constexpr uint8_t kMaxOnFailure = static_cast<uint8_t>(OnFailure::kFinish);
constexpr uint8_t kMaxOutcome = static_cast<uint8_t>(Outcome::kUnknown);
constexpr uint8_t kMaxJobState = static_cast<uint8_t>(JobState::kRefused);
constexpr uint8_t kMaxServingState =
    static_cast<uint8_t>(ServingState::kStopping);
constexpr uint8_t kMaxRunOutcome = static_cast<uint8_t>(RunOutcome::kLost);
constexpr uint8_t kMaxPhase = static_cast<uint8_t>(GrantPhase::kEnded);

uint32_t ToWire(Millis value) {
  return static_cast<uint32_t>(std::clamp<int64_t>(
      value.count(), 0, std::numeric_limits<uint32_t>::max()));
}

// Writes at most what the other side accepts.
uint64_t ToWire(uint64_t work) { return std::min(work, kMaxReportedWork); }
WorkByUrgency ToWire(WorkByUrgency bands) {
  for (uint64_t& work : bands) work = ToWire(work);
  return bands;
}

Offset<flatbuffers::Vector<uint8_t>> Bytes(Builder* b, std::string_view text) {
  return b->CreateVector(reinterpret_cast<const uint8_t*>(text.data()),
                         text.size());
}

std::string Text(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::vector<std::string> Texts(
    const flatbuffers::Vector<Offset<flatbuffers::String>>* texts) {
  std::vector<std::string> out;
  if (texts == nullptr) return out;
  for (const flatbuffers::String* text : *texts) out.push_back(text->str());
  return out;
}

std::string Text(const flatbuffers::Vector<uint8_t>* bytes) {
  if (bytes == nullptr) return {};
  return {reinterpret_cast<const char*>(bytes->data()), bytes->size()};
}

fb::Load ToFb(const Load& load) {
  return {load.slots, load.running, load.queued, load.yours,
          static_cast<uint8_t>(load.state)};
}

fb::Resources ToFb(const Resources& resources) {
  return {resources.cpu_millis, resources.memory_mb, resources.accelerators};
}

Offset<fb::TaskResult> ToFb(Builder* b, const TaskResult& result) {
  const auto output = Bytes(b, result.output);
  return fb::CreateTaskResult(*b, static_cast<uint8_t>(result.outcome),
                              static_cast<uint8_t>(result.reason), output);
}

Offset<fb::Job> ToFb(Builder* b, const JobSpec& job) {
  std::vector<Offset<fb::Payload>> payloads;
  payloads.reserve(job.payloads.size());
  for (const std::string& payload : job.payloads) {
    payloads.push_back(fb::CreatePayload(*b, Bytes(b, payload)));
  }
  const auto team = b->CreateString(job.team);
  const auto service = b->CreateString(job.service);
  const auto label = b->CreateString(job.label);
  const auto zone = b->CreateString(job.zone);
  const auto kind = b->CreateString(job.worker_kind);
  return fb::CreateJob(*b, team, service, label, zone, kind,
                       ToWire(job.deadline), job.repeatable,
                       static_cast<uint8_t>(job.on_failure),
                       b->CreateVector(payloads));
}

Offset<fb::Member> ToFb(Builder* b, const MemberRecord& m) {
  const auto zone = b->CreateString(m.zone);
  const auto kind = b->CreateString(m.worker_kind);
  const auto services = b->CreateVectorOfStrings(m.services);
  const fb::Load load = ToFb(m.load);
  return fb::CreateMember(*b, m.address.ip, m.address.port, m.incarnation.value,
                          m.version, static_cast<uint8_t>(m.role), zone, kind,
                          services, &load, m.config_version,
                          m.evacuation_revision);
}

// Zero, which leaves the field out of the frame, for an unknown snapshot.
Offset<fb::Evacuations> ToFb(Builder* b, const Evacuations& evacuations) {
  if (!evacuations.is_known()) return {};
  const auto zones = b->CreateVectorOfStrings(std::vector<std::string>(
      evacuations.zones().begin(), evacuations.zones().end()));
  return fb::CreateEvacuations(*b, evacuations.revision(), zones);
}

// Zero without rows.
Offset<flatbuffers::Vector<Offset<fb::InterferenceSums>>> ToFb(
    Builder* b, const std::vector<InterferenceSums>& sums) {
  if (sums.empty()) return {};
  std::vector<Offset<fb::InterferenceSums>> rows;
  for (const InterferenceSums& row : sums) {
    const auto queue = b->CreateString(row.queue);
    const auto neighbours = b->CreateVectorOfStrings(row.neighbours);
    const auto products = b->CreateVector(row.products);
    rows.push_back(
        fb::CreateInterferenceSums(*b, queue, neighbours, row.runs, products));
  }
  return b->CreateVector(rows);
}

Offset<flatbuffers::Vector<Offset<fb::QueueShare>>> ToFb(
    Builder* b, const std::vector<QueueShare>& shares) {
  if (shares.empty()) return {};
  std::vector<Offset<fb::QueueShare>> rows;
  for (const QueueShare& row : shares) {
    const auto queue = b->CreateString(row.queue);
    rows.push_back(fb::CreateQueueShare(*b, queue, row.share));
  }
  return b->CreateVector(rows);
}

Offset<fb::WorkerLoss> ToFb(Builder* b, const WorkerLoss& loss) {
  const auto tasks = b->CreateVectorOfStrings(loss.tasks);
  const auto unconfirmed = b->CreateVectorOfStrings(loss.unconfirmed_tasks);
  return fb::CreateWorkerLoss(*b, loss.started_at, loss.has_crashed, tasks,
                              unconfirmed, loss.number);
}

// Builds the body of each message type. Returns its union tag and offset.
struct BodyWriter {
  Builder* b;
  using Written = std::pair<fb::Body, Offset<void>>;

  Written operator()(const Hello& m) const {
    return {
        fb::Body::Hello,
        fb::CreateHello(*b, m.incarnation.value, m.address.ip, m.address.port,
                        static_cast<uint8_t>(m.role), m.connection)
            .Union()};
  }
  Written operator()(const MintRequest& m) const {
    return {fb::Body::MintRequest,
            fb::CreateMintRequest(*b, m.request, m.count).Union()};
  }
  Written operator()(const MintReply& m) const {
    return {
        fb::Body::MintReply,
        fb::CreateMintReply(*b, m.request, m.first, m.count, ToWire(m.lifetime),
                            static_cast<uint8_t>(m.reason))
            .Union()};
  }
  Written operator()(const SubmitRequest& m) const {
    const auto job = ToFb(b, m.job);
    return {
        fb::Body::SubmitRequest,
        fb::CreateSubmitRequest(*b, m.request, m.sequence, ToWire(m.wait), job)
            .Union()};
  }
  Written operator()(const QueryRequest& m) const {
    return {fb::Body::QueryRequest,
            fb::CreateQueryRequest(*b, m.request, m.sequence, ToWire(m.wait))
                .Union()};
  }
  Written operator()(const CancelRequest& m) const {
    return {fb::Body::CancelRequest,
            fb::CreateCancelRequest(*b, m.request, m.sequence, ToWire(m.wait))
                .Union()};
  }
  Written operator()(const JobReply& m) const {
    std::vector<Offset<fb::TaskResult>> results;
    results.reserve(m.answer.results.size());
    for (const TaskResult& result : m.answer.results) {
      results.push_back(ToFb(b, result));
    }
    const auto vector = b->CreateVector(results);
    return {
        fb::Body::JobReply,
        fb::CreateJobReply(*b, m.request, static_cast<uint8_t>(m.answer.state),
                           static_cast<uint8_t>(m.answer.reason),
                           ToWire(m.answer.retry_after), vector)
            .Union()};
  }
  Written operator()(const GrantBatch& m) const {
    std::vector<Offset<fb::Grant>> grants;
    grants.reserve(m.grants.size());
    for (const Grant& grant : m.grants) {
      const auto payload = Bytes(b, grant.payload);
      const auto service = b->CreateSharedString(grant.service);
      grants.push_back(fb::CreateGrant(
          *b, grant.number, ToWire(grant.remaining), payload, service));
    }
    const auto vector = b->CreateVector(grants);
    return {
        fb::Body::GrantBatch,
        fb::CreateGrantBatch(*b, m.watermark, m.target.value, vector).Union()};
  }
  Written operator()(const AskBatch& m) const {
    const auto numbers = b->CreateVector(m.numbers);
    return {
        fb::Body::AskBatch,
        fb::CreateAskBatch(*b, m.watermark, m.target.value, m.withdraw, numbers)
            .Union()};
  }
  Written operator()(const GrantReplies& m) const {
    std::vector<Offset<fb::GrantStatus>> statuses;
    statuses.reserve(m.statuses.size());
    for (const GrantStatus& status : m.statuses) {
      const auto result = ToFb(b, status.result);
      statuses.push_back(fb::CreateGrantStatus(
          *b, status.number, static_cast<uint8_t>(status.phase), result));
    }
    const auto vector = b->CreateVector(statuses);
    const fb::Load load = ToFb(m.load);
    return {fb::Body::GrantReplies,
            fb::CreateGrantReplies(*b, &load, vector).Union()};
  }
  Written operator()(const Gossip& m) const {
    std::vector<Offset<fb::Member>> members;
    members.reserve(m.members.size());
    for (const MemberRecord& member : m.members) {
      members.push_back(ToFb(b, member));
    }
    const auto vector = b->CreateVector(members);
    return {fb::Body::Gossip,
            fb::CreateGossip(*b, m.want_reply, vector).Union()};
  }
  Written operator()(const ConfigOffer& m) const {
    const auto document = b->CreateString(m.document);
    const auto evacuations = ToFb(b, m.evacuations);
    return {
        fb::Body::ConfigOffer,
        fb::CreateConfigOffer(*b, m.version, document, evacuations).Union()};
  }
  Written operator()(const AdminRequest& m) const {
    const auto verb = b->CreateString(m.verb);
    const auto argument = b->CreateString(m.argument);
    return {fb::Body::AdminRequest,
            fb::CreateAdminRequest(*b, m.request, verb, argument).Union()};
  }
  Written operator()(const AdminReply& m) const {
    const auto document = b->CreateString(m.document);
    return {fb::Body::AdminReply,
            fb::CreateAdminReply(*b, m.request, static_cast<uint8_t>(m.reason),
                                 document)
                .Union()};
  }
  Written operator()(const RunOrders& m) const {
    std::vector<Offset<fb::RunOrder>> orders;
    orders.reserve(m.orders.size());
    // The tasks of a job have the same payload, and their orders mostly follow
    // each other, so equal payloads in a row are written only once.
    const std::string* written = nullptr;
    Offset<flatbuffers::Vector<uint8_t>> payload;
    for (const RunOrder& order : m.orders) {
      if (written == nullptr || *written != order.payload) {
        payload = Bytes(b, order.payload);
        written = &order.payload;
      }
      const auto task = b->CreateString(order.task);
      const auto service = b->CreateSharedString(order.service);
      const auto queue = b->CreateSharedString(order.queue);
      const fb::Resources need = ToFb(order.need);
      orders.push_back(fb::CreateRunOrder(
          *b, order.number, task, order.attempt, order.step_tag,
          order.max_per_worker, service, payload, &need, ToWire(order.estimate),
          ToWire(order.slack), ToWire(order.remaining), order.must_run_alone,
          ToWire(order.expected), queue));
    }
    const auto order_vector = b->CreateVector(orders);
    const auto stop_vector = b->CreateVector(m.stops);
    const WorkByUrgency bands = ToWire(m.waiting_work);
    const auto waiting = b->CreateVector(bands.data(), bands.size());
    const auto evacuations = ToFb(b, m.evacuations);
    return {fb::Body::RunOrders,
            fb::CreateRunOrders(*b, m.echo, waiting, order_vector, stop_vector,
                                evacuations, m.wants_running)
                .Union()};
  }
  Written operator()(const RunReport& m) const {
    std::vector<fb::RunEnd> ends;
    ends.reserve(m.ends.size());
    for (const RunEnd& end : m.ends) {
      ends.emplace_back(end.number, static_cast<uint8_t>(end.outcome),
                        static_cast<uint8_t>(end.reason), ToWire(end.run_time));
    }
    // A field whose offset is zero is left out of the frame.
    Offset<flatbuffers::String> service;
    Offset<flatbuffers::String> rack;
    Offset<flatbuffers::String> zone;
    Offset<flatbuffers::Vector<Offset<flatbuffers::String>>> labels;
    if (m.has_offer) {
      service = b->CreateString(m.service);
      rack = b->CreateString(m.rack);
      zone = b->CreateString(m.zone);
      labels = b->CreateVectorOfStrings(m.labels);
    }
    const auto end_vector = b->CreateVectorOfStructs(ends);
    Offset<flatbuffers::Vector<Offset<fb::WorkerLoss>>> losses;
    if (!m.worker_losses.empty()) {
      std::vector<Offset<fb::WorkerLoss>> rows;
      for (const WorkerLoss& loss : m.worker_losses) {
        rows.push_back(ToFb(b, loss));
      }
      losses = b->CreateVector(rows);
    }
    const WorkByUrgency bands = ToWire(m.waiting_work);
    const auto waiting = b->CreateVector(bands.data(), bands.size());
    const WorkByUrgency queued_bands = ToWire(m.queued_by_urgency);
    const auto queued =
        b->CreateVector(queued_bands.data(), queued_bands.size());
    const fb::Resources capacity = ToFb(m.capacity);
    const fb::Resources used = ToFb(m.used);
    const auto evacuations = ToFb(b, m.evacuations);
    const auto sums = ToFb(b, m.interference_sums);
    const auto running = ToFb(b, m.running);
    return {fb::Body::RunReport,
            fb::CreateRunReport(
                *b, m.stamp, m.seen_order, m.earlier_runs, m.is_settled,
                static_cast<uint8_t>(m.state), service, rack, labels,
                m.has_offer ? &capacity : nullptr, &used, ToWire(m.queued_work),
                waiting, m.slowness, end_vector, zone, m.has_offer,
                m.telling_entries, m.linked_entries, losses, m.slowness_runs,
                evacuations, sums, running, queued)
                .Union()};
  }
  Written operator()(const JobCancels& m) const {
    const auto ids = b->CreateVectorOfStrings(m.ids);
    return {fb::Body::JobCancels,
            fb::CreateJobCancels(*b, m.number, ids, m.pass_on).Union()};
  }
  Written operator()(const JobCancelsSeen& m) const {
    const auto held = b->CreateVectorOfStrings(m.held);
    return {fb::Body::JobCancelsSeen,
            fb::CreateJobCancelsSeen(*b, m.number, held).Union()};
  }
  Written operator()(const CrashNotices& m) const {
    std::vector<Offset<fb::CrashNotice>> rows;
    for (const CrashNotice& notice : m.notices) {
      const auto loss = ToFb(b, notice.loss);
      rows.push_back(
          fb::CreateCrashNotice(*b, notice.guard.ip, notice.guard.port, loss));
    }
    const auto vector = b->CreateVector(rows);
    return {fb::Body::CrashNotices, fb::CreateCrashNotices(*b, vector).Union()};
  }
};

// Converts one frame body to a message. `valid` returns false after a value was
// missing or out of range.
class BodyReader {
 public:
  bool valid() const { return valid_; }

  Message Read(const fb::Frame& frame) {
    switch (frame.body_type()) {
      case fb::Body::Hello:
        return ReadHello(*frame.body_as_Hello());
      case fb::Body::MintRequest:
        return ReadMintRequest(*frame.body_as_MintRequest());
      case fb::Body::MintReply:
        return ReadMintReply(*frame.body_as_MintReply());
      case fb::Body::SubmitRequest:
        return ReadSubmit(*frame.body_as_SubmitRequest());
      case fb::Body::QueryRequest:
        return ReadWaiting<QueryRequest>(*frame.body_as_QueryRequest());
      case fb::Body::CancelRequest:
        return ReadWaiting<CancelRequest>(*frame.body_as_CancelRequest());
      case fb::Body::JobReply:
        return ReadJobReply(*frame.body_as_JobReply());
      case fb::Body::GrantBatch:
        return ReadGrants(*frame.body_as_GrantBatch());
      case fb::Body::AskBatch:
        return ReadAsk(*frame.body_as_AskBatch());
      case fb::Body::GrantReplies:
        return ReadReplies(*frame.body_as_GrantReplies());
      case fb::Body::Gossip:
        return ReadGossip(*frame.body_as_Gossip());
      case fb::Body::ConfigOffer:
        return ReadConfig(*frame.body_as_ConfigOffer());
      case fb::Body::AdminRequest:
        return ReadAdminRequest(*frame.body_as_AdminRequest());
      case fb::Body::AdminReply:
        return ReadAdminReply(*frame.body_as_AdminReply());
      case fb::Body::RunOrders:
        return ReadRunOrders(*frame.body_as_RunOrders());
      case fb::Body::RunReport:
        return ReadRunReport(*frame.body_as_RunReport());
      case fb::Body::JobCancels:
        return ReadJobCancels(*frame.body_as_JobCancels());
      case fb::Body::JobCancelsSeen:
        return ReadJobCancelsSeen(*frame.body_as_JobCancelsSeen());
      case fb::Body::CrashNotices:
        return ReadCrashNotices(*frame.body_as_CrashNotices());
      default:
        valid_ = false;
        return Hello{};
    }
  }

 private:
  template <typename E>
  E Enum(uint8_t value, uint8_t max) {
    if (value > max) valid_ = false;
    return static_cast<E>(value);
  }

  // Whether there are elements that can be read where they are. The verifier
  // checks the alignment of a vector's length, but not that of its elements.
  template <typename V>
  bool HasElements(const V* vector) {
    if (vector == nullptr || vector->size() == 0) return false;
    const bool is_aligned =
        reinterpret_cast<uintptr_t>(vector->Data()) % alignof(uint64_t) == 0;
    if (!is_aligned) valid_ = false;
    return is_aligned;
  }

  // Calls `read` for each element of `vector`, which may be null.
  template <typename V, typename Fn>
  void ForEach(const V* vector, Fn read) {
    if (vector == nullptr) return;
    for (const auto* item : *vector) read(*item);
  }

  Load ReadLoad(const fb::Load* load) {
    if (load == nullptr) return {};
    return {load->slots(), load->running(), load->queued(), load->yours(),
            Enum<ServingState>(load->state(), kMaxServingState)};
  }

  TaskResult ReadResult(const fb::TaskResult* result) {
    if (result == nullptr) {
      valid_ = false;
      return {};
    }
    return {Enum<Outcome>(result->outcome(), kMaxOutcome),
            ReasonFromWire(result->reason()), Text(result->output())};
  }

  Hello ReadHello(const fb::Hello& m) {
    return {{m.incarnation()},
            {m.ip(), m.port()},
            Enum<Role>(m.role(), kMaxRole),
            m.connection()};
  }

  static MintRequest ReadMintRequest(const fb::MintRequest& m) {
    return {m.request(), m.count()};
  }

  static MintReply ReadMintReply(const fb::MintReply& m) {
    return {m.request(), m.first(), m.count(), Millis(m.lifetime_ms()),
            ReasonFromWire(m.reason())};
  }

  SubmitRequest ReadSubmit(const fb::SubmitRequest& m) {
    SubmitRequest out{m.request(), m.sequence(), Millis(m.wait_ms()), {}};
    if (m.job() == nullptr) {
      valid_ = false;
      return out;
    }
    const fb::Job& job = *m.job();
    out.job.team = Text(job.team());
    out.job.service = Text(job.service());
    out.job.label = Text(job.label());
    out.job.zone = Text(job.zone());
    out.job.worker_kind = Text(job.worker_kind());
    out.job.deadline = Millis(job.deadline_ms());
    out.job.repeatable = job.repeatable();
    out.job.on_failure = Enum<OnFailure>(job.on_failure(), kMaxOnFailure);
    ForEach(job.payloads(), [&](const fb::Payload& payload) {
      out.job.payloads.push_back(Text(payload.bytes()));
    });
    const size_t count = out.job.payloads.size();
    if (count == 0 || count > kMaxTasksPerJob) valid_ = false;
    return out;
  }

  template <typename T, typename F>
  static T ReadWaiting(const F& m) {
    return {m.request(), m.sequence(), Millis(m.wait_ms())};
  }

  JobReply ReadJobReply(const fb::JobReply& m) {
    JobReply out;
    out.request = m.request();
    out.answer.state = Enum<JobState>(m.state(), kMaxJobState);
    out.answer.reason = ReasonFromWire(m.reason());
    out.answer.retry_after = Millis(m.retry_after_ms());
    ForEach(m.results(), [&](const fb::TaskResult& result) {
      out.answer.results.push_back(ReadResult(&result));
    });
    return out;
  }

  GrantBatch ReadGrants(const fb::GrantBatch& m) {
    GrantBatch out{m.watermark(), {m.target()}, {}};
    ForEach(m.grants(), [&](const fb::Grant& grant) {
      out.grants.push_back({grant.number(), Millis(grant.remaining_ms()),
                            Text(grant.service()), Text(grant.payload())});
    });
    return out;
  }

  AskBatch ReadAsk(const fb::AskBatch& m) {
    AskBatch out{m.watermark(), {m.target()}, m.withdraw(), {}};
    if (HasElements(m.numbers())) {
      out.numbers.assign(m.numbers()->begin(), m.numbers()->end());
    }
    return out;
  }

  GrantReplies ReadReplies(const fb::GrantReplies& m) {
    GrantReplies out{ReadLoad(m.load()), {}};
    ForEach(m.statuses(), [&](const fb::GrantStatus& status) {
      out.statuses.push_back({status.number(),
                              Enum<GrantPhase>(status.phase(), kMaxPhase),
                              ReadResult(status.result())});
    });
    return out;
  }

  Gossip ReadGossip(const fb::Gossip& m) {
    Gossip out{m.want_reply(), {}};
    ForEach(m.members(), [&](const fb::Member& member) {
      out.members.push_back(ReadMember(member));
    });
    return out;
  }

  MemberRecord ReadMember(const fb::Member& m) {
    MemberRecord out;
    out.address = {m.ip(), m.port()};
    out.incarnation = {m.incarnation()};
    out.version = m.version();
    out.role = Enum<Role>(m.role(), kMaxRole);
    out.zone = Text(m.zone());
    out.worker_kind = Text(m.worker_kind());
    out.services = Texts(m.services());
    out.load = ReadLoad(m.load());
    out.config_version = m.config_version();
    out.evacuation_revision = m.evacuation_revision();
    return out;
  }

  ConfigOffer ReadConfig(const fb::ConfigOffer& m) {
    return {m.version(), Text(m.document()), ReadEvacuations(m.evacuations())};
  }

  // Rejects more zones than a snapshot holds, and what is no zone's name.
  Evacuations ReadEvacuations(const fb::Evacuations* m) {
    if (m == nullptr) return {};
    const std::vector<std::string> zones = Texts(m->zones());
    if (m->revision() == 0 || zones.size() > kMaxEvacuatedZones ||
        !std::all_of(zones.begin(), zones.end(), [](const std::string& zone) {
          return IsZoneName(zone);
        })) {
      valid_ = false;
      return {};
    }
    return {m->revision(), {zones.begin(), zones.end()}};
  }

  static AdminRequest ReadAdminRequest(const fb::AdminRequest& m) {
    return {m.request(), Text(m.verb()), Text(m.argument())};
  }

  static AdminReply ReadAdminReply(const fb::AdminReply& m) {
    return {m.request(), ReasonFromWire(m.reason()), Text(m.document())};
  }

  static JobCancels ReadJobCancels(const fb::JobCancels& m) {
    return {m.number(), Texts(m.ids()), m.pass_on()};
  }

  static JobCancelsSeen ReadJobCancelsSeen(const fb::JobCancelsSeen& m) {
    return {m.number(), Texts(m.held())};
  }

  static WorkerLoss ReadLoss(const fb::WorkerLoss& loss) {
    return {loss.started_at(), loss.has_crashed(), Texts(loss.tasks()),
            Texts(loss.unconfirmed_tasks()), loss.number()};
  }

  CrashNotices ReadCrashNotices(const fb::CrashNotices& m) {
    CrashNotices out;
    ForEach(m.notices(), [&](const fb::CrashNotice& notice) {
      if (notice.loss() == nullptr) {
        valid_ = false;
        return;
      }
      out.notices.push_back(
          {{notice.ip(), notice.port()}, ReadLoss(*notice.loss())});
    });
    return out;
  }

  // Rejects quantities that exceed those of any real worker, because sums of
  // them could overflow where the message is used.
  Resources ReadResources(const fb::Resources* r) {
    if (r == nullptr) return {};
    const Resources out{r->cpu_millis(), r->memory_mb(), r->accelerators()};
    if (!out.IsInRange()) valid_ = false;
    return out;
  }

  // Rejects amounts of work that exceed the capacity of any real fleet, because
  // sums of them could overflow where the message is used.
  uint64_t ReadWork(uint64_t work) {
    if (work > kMaxReportedWork) valid_ = false;
    return work;
  }

  WorkByUrgency ReadBands(const flatbuffers::Vector<uint64_t>* bands) {
    WorkByUrgency out{};
    if (!HasElements(bands)) return out;
    for (size_t i = 0; i < std::min<size_t>(bands->size(), kUrgencyBands);
         ++i) {
      out[i] = ReadWork(bands->Get(static_cast<flatbuffers::uoffset_t>(i)));
    }
    return out;
  }

  RunOrders ReadRunOrders(const fb::RunOrders& m) {
    RunOrders out;
    out.echo = m.echo();
    out.waiting_work = ReadBands(m.waiting_work());
    out.wants_running = m.wants_running();
    ForEach(m.orders(), [&](const fb::RunOrder& order) {
      out.orders.push_back(
          {order.number(), Text(order.task()), order.attempt(),
           order.step_tag(), order.max_per_worker(), Text(order.service()),
           Text(order.payload()), ReadResources(order.need()),
           Millis(order.estimate_ms()), Millis(order.slack_ms()),
           Millis(order.remaining_ms()), order.must_run_alone(),
           Millis(order.expected_ms()), Text(order.queue())});
      const RunOrder& read = out.orders.back();
      if (!IsJobWorkInRange(1, read.need, read.estimate)) valid_ = false;
    });
    if (HasElements(m.stops())) {
      out.stops.assign(m.stops()->begin(), m.stops()->end());
    }
    out.evacuations = ReadEvacuations(m.evacuations());
    return out;
  }

  RunReport ReadRunReport(const fb::RunReport& m) {
    RunReport out;
    out.stamp = m.stamp();
    out.seen_order = m.seen_order();
    out.earlier_runs = m.earlier_runs();
    out.is_settled = m.is_settled();
    out.state = Enum<ServingState>(m.state(), kMaxServingState);
    out.has_offer = m.has_offer();
    out.telling_entries = m.telling_entries();
    out.linked_entries = m.linked_entries();
    out.service = Text(m.service());
    out.rack = Text(m.rack());
    out.zone = Text(m.zone());
    out.labels = Texts(m.labels());
    out.capacity = ReadResources(m.capacity());
    out.used = ReadResources(m.used());
    out.queued_work = ReadWork(m.queued_work());
    out.queued_by_urgency = ReadBands(m.queued_by_urgency());
    out.waiting_work = ReadBands(m.waiting_work());
    out.slowness = m.slowness();
    out.slowness_runs = m.slowness_runs();
    const auto* ends = HasElements(m.ends()) ? m.ends() : nullptr;
    ForEach(ends, [&](const fb::RunEnd& end) {
      out.ends.push_back(
          {end.number(), Enum<RunOutcome>(end.outcome(), kMaxRunOutcome),
           ReasonFromWire(end.reason()), Millis(end.run_time_ms())});
    });
    ForEach(m.worker_losses(), [&](const fb::WorkerLoss& loss) {
      out.worker_losses.push_back(ReadLoss(loss));
    });
    out.evacuations = ReadEvacuations(m.evacuations());
    ForEach(m.interference_sums(), [&](const fb::InterferenceSums& sums) {
      out.interference_sums.push_back(
          {Text(sums.queue()), Texts(sums.neighbours()), sums.runs(), {}});
      if (!HasElements(sums.products())) return;
      out.interference_sums.back().products.assign(sums.products()->begin(),
                                                   sums.products()->end());
    });
    ForEach(m.running(), [&](const fb::QueueShare& running) {
      out.running.push_back({Text(running.queue()), running.share()});
      const double share = out.running.back().share;
      if (!(share >= 0 && share <= 1)) valid_ = false;
    });
    return out;
  }

  bool valid_ = true;
};

}  // namespace

std::string_view ServingStateName(ServingState state) {
  static constexpr std::array<std::string_view, 5> kNames = {
      "serving", "draining", "breaker_open", "absent", "stopping"};
  return kNames.at(static_cast<size_t>(state));
}

Reason RefusalOf(ServingState state) {
  switch (state) {
    case ServingState::kServing:
      return Reason::kNone;
    case ServingState::kDraining:
      return Reason::kExecutorDraining;
    case ServingState::kBreakerOpen:
      return Reason::kBreakerOpen;
    case ServingState::kAbsent:
      return Reason::kBackendAbsent;
    case ServingState::kStopping:
      break;
  }
  return Reason::kStopping;
}

std::string_view RunOutcomeName(RunOutcome outcome) {
  static constexpr std::array<std::string_view, 4> kNames = {
      "done", "failed", "not_started", "lost"};
  return kNames.at(static_cast<size_t>(outcome));
}

std::string EncodeFrame(const Message& message) {
  Builder builder;
  const auto [type, body] = std::visit(BodyWriter{&builder}, message);
  builder.Finish(fb::CreateFrame(builder, type, body));
  const uint32_t size = builder.GetSize();
  std::string frame;
  frame.reserve(kFrameHeaderBytes + size);
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    frame.push_back(static_cast<char>((size >> (8 * i)) & 0xFFU));
  }
  frame.append(reinterpret_cast<const char*>(builder.GetBufferPointer()), size);
  return frame;
}

Result<uint32_t> DecodeHeader(
    std::span<const uint8_t, kFrameHeaderBytes> bytes) {
  uint32_t size = 0;
  for (size_t i = 0; i < kFrameHeaderBytes; ++i) {
    size |= static_cast<uint32_t>(bytes[i]) << (8 * i);
  }
  if (size == 0 || size > kMaxFrameBytes) {
    return tl::unexpected(std::make_error_code(std::errc::message_size));
  }
  return size;
}

Result<Message> DecodeBody(std::span<const uint8_t> body) {
  const auto bad = [] {
    return tl::unexpected(std::make_error_code(std::errc::bad_message));
  };
  // FlatBuffers reads scalars in place, the largest of eight bytes.
  std::vector<uint64_t> aligned;
  if (reinterpret_cast<uintptr_t>(body.data()) % alignof(uint64_t) != 0) {
    aligned.resize(body.size() / sizeof(uint64_t) + 1);
    std::memcpy(aligned.data(), body.data(), body.size());
    body = {reinterpret_cast<const uint8_t*>(aligned.data()), body.size()};
  }
  flatbuffers::Verifier verifier(body.data(), body.size());
  if (!fb::VerifyFrameBuffer(verifier)) return bad();
  const fb::Frame* frame = fb::GetFrame(body.data());
  if (frame->body() == nullptr) return bad();
  BodyReader reader;
  Message message = reader.Read(*frame);
  if (!reader.valid()) return bad();
  return message;
}

}  // namespace qs
