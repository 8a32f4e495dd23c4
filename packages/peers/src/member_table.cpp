#include <jujubecart/peers/member_table.hpp>

#include <algorithm>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace internal {

constexpr std::chrono::milliseconds PauseLimit{1000};
constexpr std::chrono::milliseconds DrainTime{250};

std::size_t bucketOf(const std::string &Vm) {
  return core::hash64(Vm) % MemberTable::Buckets;
}

// Suspicion is each VM's own judgement and not part of the digest.
std::uint64_t digestOf(const core::Member &Item) {
  std::uint64_t Hash =
      Item.Incarnation * 2 + (Item.State == core::MemberState::Leaving ? 1 : 0);
  for (const std::string *Text :
       {&Item.Id, &Item.Address, &Item.Operators, &Item.Zone, &Item.Region})
    Hash = core::hash64(*Text, Hash);
  return Hash;
}

MemberEntry entryOf(const core::Member &Info, std::uint8_t Age) {
  return {.Id = Info.Id,
          .Address = Info.Address,
          .Zone = Info.Zone,
          .Region = Info.Region,
          .Incarnation = Info.Incarnation,
          .Leaving = Info.State == core::MemberState::Leaving,
          .Age = Age,
          .Operators = Info.Operators,
          .ProcessorMilli = Info.ProcessorMilli};
}

} // namespace internal

MemberTable::MemberTable(const PeerOptions &Options, const core::Clock &Time,
                         core::EventSink &Events)
    : Options(Options), Time(Time), Events(Events), Self(Options.Self),
      LastTick(Time.now()), TrustFrom(LastTick) {}

core::Member MemberTable::self() const {
  const std::lock_guard Lock(Mutex);
  return Self;
}

std::vector<core::Member> MemberTable::members() const {
  const std::lock_guard Lock(Mutex);
  std::vector<core::Member> Known;
  Known.reserve(Others.size() + 1);
  for (const auto &[Vm, Item] : Others)
    if (Item.Known)
      Known.push_back(Item.Info);
  Known.insert(std::upper_bound(Known.begin(), Known.end(), Self,
                                [](const auto &Left, const auto &Right) {
                                  return Left.Id < Right.Id;
                                }),
               Self);
  return Known;
}

std::uint64_t MemberTable::version() const noexcept { return Version; }

void MemberTable::changed(const Entry &Item, std::string_view Why) {
  ++Version;
  core::LogLine(core::LogLevel::Info, "member.changed")
      .field("peer", Item.Info.Id)
      .field("incarnation", Item.Info.Incarnation)
      .field("state", Why);
  Events.record({.Kind = "member.changed",
                 .Peer = Item.Info.Id,
                 .Detail = std::string(Why)});
}

// A VM that the list names is contacted, but counts as a member only once it
// was heard from: the list lags.
void MemberTable::update(const std::vector<core::Member> &Listed) {
  const std::lock_guard Lock(Mutex);
  for (auto &[Vm, Item] : Others)
    Item.Listed = false;
  for (const core::Member &Item : Listed) {
    if (Item.Id == Self.Id)
      continue;
    Entry &Known = Others[Item.Id];
    Known.Listed = true;
    if (!Known.Known) {
      Known.Info = Item;
      Known.Info.Incarnation = 0;
      Known.Info.State = core::MemberState::Suspect;
    }
  }
  std::erase_if(Others, [](const auto &Item) {
    return !Item.second.Listed && !Item.second.Known;
  });
}

void MemberTable::setAddress(std::string Address) {
  const std::lock_guard Lock(Mutex);
  Self.Address = std::move(Address);
  ++Version;
}

void MemberTable::leave() {
  const std::lock_guard Lock(Mutex);
  Self.State = core::MemberState::Leaving;
  ++Version;
}

void MemberTable::refresh(Entry &Item, core::TimePoint Heard) {
  Item.Heard = std::max(Item.Heard, Heard);
  if (Item.Info.State == core::MemberState::Suspect &&
      Time.now() - Item.Heard < Options.SuspectAfter) {
    Item.Info.State = core::MemberState::Live;
    changed(Item, "live");
  }
}

void MemberTable::heard(const std::string &Vm, std::uint64_t Incarnation) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Others.find(Vm);
  if (Found == Others.end() || !Found->second.Known ||
      Found->second.Info.Incarnation != Incarnation)
    return;
  refresh(Found->second, Time.now());
}

void MemberTable::greet(const Hello &Item) {
  const std::lock_guard Lock(Mutex);
  (void)merge({.Id = Item.Sender,
               .Address = Item.Address,
               .Zone = Item.Zone,
               .Region = Item.Region,
               .Incarnation = Item.Incarnation,
               .Leaving = Item.Leaving,
               .Age = 0,
               .Operators = Item.Operators,
               .ProcessorMilli = Item.ProcessorMilli},
              Time.now());
}

// Merges one entry; a higher incarnation wins, and within one incarnation a
// VM that is leaving stays so.
bool MemberTable::merge(const MemberEntry &Item, core::TimePoint Now) {
  const core::TimePoint Heard = Now - Item.Age * AgeUnit;
  if (Item.Id.empty() || Item.Id == Self.Id ||
      Now - Heard >= Options.RemoveAfter)
    return false;
  Entry &Known = Others[Item.Id];
  if (Known.Known && Item.Incarnation < Known.Info.Incarnation)
    return false;
  const bool Newer = !Known.Known || Item.Incarnation > Known.Info.Incarnation;
  const bool Leaves =
      Item.Leaving && Known.Info.State != core::MemberState::Leaving;
  if (Newer) {
    Known.Info = {.Id = Item.Id,
                  .Address = Item.Address,
                  .Operators = Item.Operators,
                  .Zone = Item.Zone,
                  .Region = Item.Region,
                  .ProcessorMilli = Item.ProcessorMilli,
                  .Incarnation = Item.Incarnation,
                  .State = core::MemberState::Live};
    Known.Known = true;
    Known.Heard = Heard;
    if (Now - Heard >= Options.SuspectAfter)
      Known.Info.State = core::MemberState::Suspect;
  }
  if (Item.Leaving)
    Known.Info.State = core::MemberState::Leaving;
  if (Newer || Leaves)
    changed(Known, core::toString(Known.Info.State));
  refresh(Known, Heard);
  return Newer || Leaves;
}

std::vector<std::vector<const MemberTable::Entry *>>
MemberTable::buckets() const {
  std::vector<std::vector<const Entry *>> Result(Buckets);
  for (const auto &[Vm, Item] : Others)
    if (Item.Known)
      Result[internal::bucketOf(Vm)].push_back(&Item);
  return Result;
}

// Rounded up, so that an entry never grows younger by being passed on.
std::uint8_t MemberTable::age(const Entry &Item, core::TimePoint Now) const {
  const auto Units =
      (Now - Item.Heard + AgeUnit - core::TimePoint::duration(1)) / AgeUnit;
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(Units, 0, 255));
}

GossipMessage MemberTable::digest() const {
  const std::lock_guard Lock(Mutex);
  return lockedDigest();
}

GossipMessage MemberTable::lockedDigest() const {
  const core::TimePoint Now = Time.now();
  GossipMessage Result;
  // This VM stands in its bucket like the others.
  Entry Own{.Info = Self, .Heard = Now, .Listed = false, .Known = true};
  auto All = buckets();
  auto &Mine = All[internal::bucketOf(Self.Id)];
  Mine.insert(std::upper_bound(Mine.begin(), Mine.end(), &Own,
                               [](const Entry *Left, const Entry *Right) {
                                 return Left->Info.Id < Right->Info.Id;
                               }),
              &Own);
  for (const auto &Bucket : All) {
    std::uint64_t Hash = 0;
    for (const Entry *Item : Bucket) {
      Hash = Hash * 31 + internal::digestOf(Item->Info);
      Result.Ages.push_back(age(*Item, Now));
    }
    Result.Digests.push_back(static_cast<std::uint32_t>(Hash ^ (Hash >> 32U)));
    Result.Counts.push_back(static_cast<std::uint16_t>(Bucket.size()));
  }
  return Result;
}

bool MemberTable::paused(core::TimePoint Now) const noexcept {
  return Now - LastTick > internal::PauseLimit || Now < TrustFrom;
}

std::vector<MemberEntry> MemberTable::merge(const GossipMessage &Item) {
  const core::TimePoint Now = Time.now();
  // Held to the end: the ages of a message are read by the positions of the
  // digest, which another frame must not change in between.
  const std::lock_guard Lock(Mutex);
  // The message may have waited unread, so its ages are too low.
  if (paused(Now))
    return {};
  for (const MemberEntry &Received : Item.Members)
    (void)merge(Received, Now);
  const GossipMessage Own = lockedDigest();
  std::vector<MemberEntry> Differing;
  if (Item.Digests.size() != Buckets || Item.Counts.size() != Buckets)
    return Differing;
  std::vector<std::string> Ids;
  auto All = buckets();
  std::size_t At = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    const std::size_t Count = Item.Counts[Bucket];
    const bool Here = internal::bucketOf(Self.Id) == Bucket;
    const bool Same = Item.Digests[Bucket] == Own.Digests[Bucket] &&
                      Count == Own.Counts[Bucket];
    if (Same && At + Count <= Item.Ages.size()) {
      std::size_t Position = At;
      bool Passed = !Here;
      for (const Entry *Known : All[Bucket]) {
        if (!Passed && Self.Id < Known->Info.Id) {
          Passed = true;
          ++Position;
        }
        refresh(Others.find(Known->Info.Id)->second,
                Now - Item.Ages[Position++] * AgeUnit);
      }
    } else if (!Same) {
      for (const Entry *Known : All[Bucket])
        Differing.push_back(internal::entryOf(Known->Info, age(*Known, Now)));
      if (Here)
        Differing.push_back(internal::entryOf(Self, 0));
    }
    At += Count;
  }
  return Differing;
}

std::vector<std::string> MemberTable::tick() {
  const std::lock_guard Lock(Mutex);
  const core::TimePoint Now = Time.now();
  std::vector<std::string> Lost;
  // After a pause of this VM nobody is judged until frames are read again.
  if (Now - LastTick > internal::PauseLimit) {
    TrustFrom = Now + internal::DrainTime;
    JudgeFrom = TrustFrom + 2 * Options.GossipEvery;
  }
  LastTick = Now;
  if (Now < JudgeFrom)
    return Lost;
  for (auto At = Others.begin(); At != Others.end();) {
    Entry &Item = At->second;
    const auto Silent = Now - Item.Heard;
    if (Item.Known && Silent >= Options.RemoveAfter) {
      Item.Known = false;
      changed(Item, "removed");
      Lost.push_back(At->first);
      Item.Info.State = core::MemberState::Suspect;
      if (!Item.Listed) {
        At = Others.erase(At);
        continue;
      }
    } else if (Item.Known && Silent >= Options.SuspectAfter &&
               Item.Info.State == core::MemberState::Live) {
      Item.Info.State = core::MemberState::Suspect;
      changed(Item, "suspect");
      Lost.push_back(At->first);
    }
    ++At;
  }
  return Lost;
}

std::vector<core::Member> MemberTable::contacts(std::size_t Live,
                                                std::uint64_t Random) const {
  const std::lock_guard Lock(Mutex);
  std::vector<core::Member> Answering;
  std::vector<core::Member> Unheard;
  for (const auto &[Vm, Item] : Others)
    (Item.Known && Item.Info.State != core::MemberState::Suspect ? Answering
                                                                 : Unheard)
        .push_back(Item.Info);
  std::vector<core::Member> Result;
  while (Result.size() < Live && !Answering.empty()) {
    Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto At = Answering.begin() + static_cast<std::ptrdiff_t>(
                                            (Random >> 33U) % Answering.size());
    Result.push_back(std::move(*At));
    Answering.erase(At);
  }
  while (Result.size() < Live && Unheard.size() > 1) {
    Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto At = Unheard.begin() + static_cast<std::ptrdiff_t>(
                                          (Random >> 33U) % Unheard.size());
    Result.push_back(std::move(*At));
    Unheard.erase(At);
  }
  if (!Unheard.empty())
    Result.push_back(Unheard[(Random >> 17U) % Unheard.size()]);
  return Result;
}

} // namespace jujubecart::peers
