#include <jujubecart/peers/member_table.hpp>

#include <algorithm>
#include <jujubecart/core/hash.hpp>
#include <jujubecart/core/log.hpp>
#include <utility>

namespace jujubecart::peers {

namespace internal {

// A longer gap between two ticks means that this process was paused.
constexpr std::chrono::milliseconds MaxTickGap{1000};
// Log lines of member changes a second, and at once. When many VMs restart
// together, the lines would delay the calls of this VM; the rest is summarized.
constexpr double MemberLinesPerS = 10;
constexpr double MemberLinesBurst = 20;
// Time to read the frames that arrived during a pause.
constexpr std::chrono::milliseconds BacklogDrainTime{250};

std::size_t bucketOf(const std::string &Vm) {
  return core::hash64(Vm) % MemberTable::BucketCount;
}

// Suspicion is local to each VM and therefore not part of the hash: otherwise
// the digests of two VMs that suspect different peers would never match.
std::uint64_t hashOf(const core::Member &Info) {
  std::uint64_t Hash =
      Info.Incarnation * 2 + (Info.State == core::MemberState::Leaving ? 1 : 0);
  for (const std::string *Text :
       {&Info.Id, &Info.Address, &Info.OperatorsAddress, &Info.Zone,
        &Info.Region})
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
          .Operators = Info.OperatorsAddress,
          .ProcessorMilli = Info.ProcessorMilli};
}

} // namespace internal

MemberTable::MemberTable(const PeerOptions &Options, const core::Clock &Time,
                         core::EventSink &Events)
    : Options(Options), Time(Time), Events(Events), Self(Options.Self),
      LastTick(Time.now()), AgesValidFrom(LastTick),
      LogTokens(internal::MemberLinesPerS, internal::MemberLinesBurst,
                LastTick) {}

core::Member MemberTable::self() const {
  const std::lock_guard Lock(Mutex);
  return Self;
}

std::vector<core::Member> MemberTable::members() const {
  const std::lock_guard Lock(Mutex);
  std::vector<core::Member> Result;
  Result.reserve(Others.size() + 1);
  for (const auto &[Vm, Item] : Others)
    if (Item.Confirmed)
      Result.push_back(Item.Info);
  Result.insert(std::upper_bound(Result.begin(), Result.end(), Self,
                                 [](const auto &Left, const auto &Right) {
                                   return Left.Id < Right.Id;
                                 }),
                Self);
  return Result;
}

std::uint64_t MemberTable::version() const noexcept { return Version; }

void MemberTable::recordChange(const Entry &Item, std::string_view State) {
  ++Version;
  if (LogTokens.tryTake(Time.now()))
    core::LogLine(core::LogLevel::Info, "member.changed")
        .field("peer", Item.Info.Id)
        .field("incarnation", Item.Info.Incarnation)
        .field("state", State);
  else
    ++UnloggedChanges;
  Events.record({.Kind = "member.changed",
                 .Peer = Item.Info.Id,
                 .Detail = std::string(State)});
}

// A VM that is listed without an incarnation is contacted, but is a member only
// after a Hello or gossip has confirmed it, because the list may be out of
// date. With an incarnation that is new here, it is taken for live at once: VMs
// that start together then need not send each other their member tables.
void MemberTable::update(const std::vector<core::Member> &Listed) {
  const std::lock_guard Lock(Mutex);
  std::size_t Added = 0;
  const core::TimePoint ListedHeardAt =
      Time.now() - Options.SuspectAfter * 2 / 3;
  for (auto &[Vm, Item] : Others)
    Item.Listed = false;
  for (const core::Member &Item : Listed) {
    if (Item.Id == Self.Id)
      continue;
    Entry &Existing = Others[Item.Id];
    Existing.Listed = true;
    if (Item.Incarnation > Existing.Info.Incarnation) {
      Existing.Info = Item;
      Existing.Info.State = core::MemberState::Live;
      Existing.LastHeard = ListedHeardAt;
      Existing.Confirmed = true;
      ++Version;
      ++Added;
    } else if (!Existing.Confirmed) {
      if (Existing.LastHeard == core::TimePoint())
        Existing.LastHeard = ListedHeardAt;
      const std::uint64_t Known = Existing.Info.Incarnation;
      Existing.Info = Item;
      Existing.Info.Incarnation = Known;
      Existing.Info.State = core::MemberState::Suspect;
    }
  }
  std::erase_if(Others, [](const auto &Item) {
    return !Item.second.Listed && !Item.second.Confirmed;
  });
  if (Added > 0)
    core::LogLine(core::LogLevel::Info, "members.listed")
        .field("listed", Listed.size())
        .field("new", Added);
}

std::vector<std::string> MemberTable::lostVms() const {
  const std::lock_guard Lock(Mutex);
  const core::TimePoint Now = Time.now();
  std::vector<std::string> Lost;
  std::size_t Listed = 0;
  std::size_t Reachable = 0;
  for (const auto &[Vm, Item] : Others) {
    if (!Item.Listed)
      continue;
    ++Listed;
    Reachable +=
        Item.Confirmed && Item.Info.State != core::MemberState::Suspect;
    if (!Item.Confirmed && Now - Item.LastHeard >= 2 * Options.RemoveAfter)
      Lost.push_back(Vm);
  }
  return Reachable * 2 > Listed ? Lost : std::vector<std::string>();
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

void MemberTable::updateLastHeard(Entry &Item, core::TimePoint HeardAt) {
  Item.LastHeard = std::max(Item.LastHeard, HeardAt);
  if (Item.Info.State == core::MemberState::Suspect &&
      Time.now() - Item.LastHeard < Options.SuspectAfter) {
    Item.Info.State = core::MemberState::Live;
    recordChange(Item, "live");
  }
}

void MemberTable::recordFrame(const std::string &Vm,
                              std::uint64_t Incarnation) {
  const std::lock_guard Lock(Mutex);
  const auto Found = Others.find(Vm);
  if (Found == Others.end() || !Found->second.Confirmed ||
      Found->second.Info.Incarnation != Incarnation)
    return;
  updateLastHeard(Found->second, Time.now());
}

void MemberTable::recordHello(const Hello &PeerHello) {
  const std::lock_guard Lock(Mutex);
  (void)merge({.Id = PeerHello.Sender,
               .Address = PeerHello.Address,
               .Zone = PeerHello.Zone,
               .Region = PeerHello.Region,
               .Incarnation = PeerHello.Incarnation,
               .Leaving = PeerHello.Leaving,
               .Age = 0,
               .Operators = PeerHello.Operators,
               .ProcessorMilli = PeerHello.ProcessorMilli},
              Time.now());
}

// Merges one entry: a higher incarnation wins, and within one incarnation the
// leaving state is final. Returns whether the table changed.
bool MemberTable::merge(const MemberEntry &Received, core::TimePoint Now) {
  const core::TimePoint HeardAt = Now - Received.Age * AgeUnit;
  if (Received.Id.empty() || Received.Id == Self.Id ||
      Now - HeardAt >= Options.RemoveAfter)
    return false;
  Entry &Existing = Others[Received.Id];
  if (Existing.Confirmed && Received.Incarnation < Existing.Info.Incarnation)
    return false;
  const bool Newer =
      !Existing.Confirmed || Received.Incarnation > Existing.Info.Incarnation;
  const bool NewlyLeaving =
      Received.Leaving && Existing.Info.State != core::MemberState::Leaving;
  if (Newer) {
    Existing.Info = {.Id = Received.Id,
                     .Address = Received.Address,
                     .OperatorsAddress = Received.Operators,
                     .Zone = Received.Zone,
                     .Region = Received.Region,
                     .ProcessorMilli = Received.ProcessorMilli,
                     .Incarnation = Received.Incarnation,
                     .State = core::MemberState::Live};
    Existing.Confirmed = true;
    Existing.LastHeard = HeardAt;
    if (Now - HeardAt >= Options.SuspectAfter)
      Existing.Info.State = core::MemberState::Suspect;
  }
  if (Received.Leaving)
    Existing.Info.State = core::MemberState::Leaving;
  if (Newer || NewlyLeaving)
    recordChange(Existing, core::toString(Existing.Info.State));
  updateLastHeard(Existing, HeardAt);
  return Newer || NewlyLeaving;
}

std::vector<std::vector<const MemberTable::Entry *>>
MemberTable::buckets() const {
  std::vector<std::vector<const Entry *>> Result(BucketCount);
  for (const auto &[Vm, Item] : Others)
    if (Item.Confirmed)
      Result[internal::bucketOf(Vm)].push_back(&Item);
  return Result;
}

// Rounded up: rounding down would make an entry younger each time it is passed
// on, and gossip would keep a dead VM alive.
std::uint8_t MemberTable::age(const Entry &Item, core::TimePoint Now) const {
  const auto Units =
      (Now - Item.LastHeard + AgeUnit - core::TimePoint::duration(1)) / AgeUnit;
  return static_cast<std::uint8_t>(std::clamp<std::int64_t>(Units, 0, 255));
}

GossipMessage MemberTable::digest() const {
  const std::lock_guard Lock(Mutex);
  return lockedDigest();
}

GossipMessage MemberTable::lockedDigest() const {
  const core::TimePoint Now = Time.now();
  GossipMessage Result;
  // This VM is not in Others, so it is inserted into its bucket in id order.
  Entry SelfEntry{
      .Info = Self, .LastHeard = Now, .Listed = false, .Confirmed = true};
  auto AllBuckets = buckets();
  auto &OwnBucket = AllBuckets[internal::bucketOf(Self.Id)];
  OwnBucket.insert(std::upper_bound(OwnBucket.begin(), OwnBucket.end(),
                                    &SelfEntry,
                                    [](const Entry *Left, const Entry *Right) {
                                      return Left->Info.Id < Right->Info.Id;
                                    }),
                   &SelfEntry);
  for (const auto &Bucket : AllBuckets) {
    std::uint64_t Hash = 0;
    for (const Entry *Item : Bucket) {
      Hash = Hash * 31 + internal::hashOf(Item->Info);
      Result.Ages.push_back(age(*Item, Now));
    }
    Result.Digests.push_back(static_cast<std::uint32_t>(Hash ^ (Hash >> 32U)));
    Result.Counts.push_back(static_cast<std::uint16_t>(Bucket.size()));
  }
  return Result;
}

bool MemberTable::recentlyPaused(core::TimePoint Now) const noexcept {
  return Now - LastTick > internal::MaxTickGap || Now < AgesValidFrom;
}

std::vector<MemberEntry> MemberTable::merge(const GossipMessage &Remote) {
  const core::TimePoint Now = Time.now();
  // Held until the end: ages are matched to members by position, so the table
  // must not change between the computation of the digest and their use.
  const std::lock_guard Lock(Mutex);
  // The message may have been unread in a socket buffer during a pause of this
  // process, so its ages may be too low.
  if (recentlyPaused(Now))
    return {};
  for (const MemberEntry &Received : Remote.Members)
    (void)merge(Received, Now);
  const GossipMessage Own = lockedDigest();
  std::vector<MemberEntry> Differing;
  if (Remote.Digests.size() != BucketCount ||
      Remote.Counts.size() != BucketCount)
    return Differing;
  std::vector<std::string> Ids;
  auto AllBuckets = buckets();
  std::size_t FirstAge = 0;
  for (std::size_t Bucket = 0; Bucket < BucketCount; ++Bucket) {
    const std::size_t Count = Remote.Counts[Bucket];
    const bool HasSelf = internal::bucketOf(Self.Id) == Bucket;
    const bool Same = Remote.Digests[Bucket] == Own.Digests[Bucket] &&
                      Count == Own.Counts[Bucket];
    if (Same && FirstAge + Count <= Remote.Ages.size()) {
      std::size_t AgeIndex = FirstAge;
      bool SelfPassed = !HasSelf;
      for (const Entry *Existing : AllBuckets[Bucket]) {
        if (!SelfPassed && Self.Id < Existing->Info.Id) {
          SelfPassed = true;
          ++AgeIndex;
        }
        updateLastHeard(Others.find(Existing->Info.Id)->second,
                        Now - Remote.Ages[AgeIndex++] * AgeUnit);
      }
    } else if (!Same) {
      for (const Entry *Existing : AllBuckets[Bucket])
        Differing.push_back(
            internal::entryOf(Existing->Info, age(*Existing, Now)));
      if (HasSelf)
        Differing.push_back(internal::entryOf(Self, 0));
    }
    FirstAge += Count;
  }
  return Differing;
}

std::vector<std::string> MemberTable::tick() {
  const std::lock_guard Lock(Mutex);
  const core::TimePoint Now = Time.now();
  std::vector<std::string> Unreachable;
  // After a pause of this process no VM is suspected or removed until the
  // waiting frames have been read and two gossip rounds have passed.
  if (Now - LastTick > internal::MaxTickGap) {
    AgesValidFrom = Now + internal::BacklogDrainTime;
    SuspicionFrom = AgesValidFrom + 2 * Options.GossipInterval;
  }
  LastTick = Now;
  if (UnloggedChanges > 0)
    core::LogLine(core::LogLevel::Info, "members.changed")
        .field("changes", std::exchange(UnloggedChanges, 0))
        .field("members", Others.size());
  if (Now < SuspicionFrom)
    return Unreachable;
  for (auto At = Others.begin(); At != Others.end();) {
    Entry &Item = At->second;
    const auto SilentFor = Now - Item.LastHeard;
    if (Item.Confirmed && SilentFor >= Options.RemoveAfter) {
      Item.Confirmed = false;
      recordChange(Item, "removed");
      Unreachable.push_back(At->first);
      Item.Info.State = core::MemberState::Suspect;
      if (!Item.Listed) {
        At = Others.erase(At);
        continue;
      }
    } else if (Item.Confirmed && SilentFor >= Options.SuspectAfter &&
               Item.Info.State == core::MemberState::Live) {
      Item.Info.State = core::MemberState::Suspect;
      recordChange(Item, "suspect");
      Unreachable.push_back(At->first);
    }
    ++At;
  }
  return Unreachable;
}

std::vector<core::Member> MemberTable::selectPeers(std::size_t LiveCount,
                                                   std::uint64_t Random) const {
  const std::lock_guard Lock(Mutex);
  std::vector<core::Member> Responsive;
  std::vector<core::Member> Unresponsive;
  for (const auto &[Vm, Item] : Others)
    (Item.Confirmed && Item.Info.State != core::MemberState::Suspect
         ? Responsive
         : Unresponsive)
        .push_back(Item.Info);
  std::vector<core::Member> Result;
  while (Result.size() < LiveCount && !Responsive.empty()) {
    Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto At =
        Responsive.begin() +
        static_cast<std::ptrdiff_t>((Random >> 33U) % Responsive.size());
    Result.push_back(std::move(*At));
    Responsive.erase(At);
  }
  while (Result.size() < LiveCount && Unresponsive.size() > 1) {
    Random = Random * 6364136223846793005ULL + 1442695040888963407ULL;
    const auto At =
        Unresponsive.begin() +
        static_cast<std::ptrdiff_t>((Random >> 33U) % Unresponsive.size());
    Result.push_back(std::move(*At));
    Unresponsive.erase(At);
  }
  if (!Unresponsive.empty())
    Result.push_back(Unresponsive[(Random >> 17U) % Unresponsive.size()]);
  return Result;
}

} // namespace jujubecart::peers
