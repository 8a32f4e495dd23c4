#include <jujubecart/peers/link.hpp>

#include "stream.hpp"

#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

// A write whose oldest byte waited longer is logged, once a second for a link.
constexpr std::chrono::milliseconds SlowWrite{250};
constexpr std::chrono::seconds SlowWriteLogInterval{1};

core::TimePoint toTimePoint(core::TimePoint::rep Ticks) noexcept {
  return core::TimePoint(core::TimePoint::duration(Ticks));
}

} // namespace internal

Link::Link(std::uint64_t Number, bool Dialed,
           std::shared_ptr<internal::Stream> Transport,
           const Environment &Dependencies)
    : Number(Number), Dialed(Dialed), Transport(std::move(Transport)),
      Env(Dependencies), OpenedAt(Env.Time.now()),
      LastReceived(OpenedAt.time_since_epoch().count()),
      LastSent(OpenedAt.time_since_epoch().count()) {}

Link::~Link() = default;

core::TimePoint Link::lastReceived() const noexcept {
  return internal::toTimePoint(LastReceived);
}

core::TimePoint Link::lastSent() const noexcept {
  return internal::toTimePoint(LastSent);
}

void Link::expectReply() noexcept {
  core::TimePoint::rep NoReplyExpected = 0;
  AwaitingReplySince.compare_exchange_strong(
      NoReplyExpected, Env.Time.now().time_since_epoch().count());
}

void Link::callStarted() noexcept {
  ++UseCount;
  ++PendingCalls;
  expectReply();
}

void Link::callEnded(bool AnswerPending) noexcept {
  --UseCount;
  if (--PendingCalls == 0 && !AnswerPending)
    AwaitingReplySince = 0;
}

std::optional<core::TimePoint> Link::awaitingReplySince() const noexcept {
  const core::TimePoint::rep Since = AwaitingReplySince;
  if (Since == 0)
    return std::nullopt;
  return internal::toTimePoint(Since);
}

void Link::start(std::function<void(const LinkPtr &, const Frame &)> OnFrame,
                 std::function<void(const LinkPtr &)> OnClosed) {
  this->OnFrame = std::move(OnFrame);
  this->OnClosed = std::move(OnClosed);
  asio::post(Transport->executor(),
             [Self = shared_from_this()] { Self->read(); });
}

void Link::read() {
  if (Closed)
    return;
  Transport->read(
      asio::buffer(ReadBuffer),
      [Self = shared_from_this()](const boost::system::error_code &Failed,
                                  std::size_t Bytes) {
        if (Failed)
          Self->finish(Failed.message());
        else
          Self->onRead(Bytes);
      });
}

void Link::onRead(std::size_t Bytes) {
  Codec.feed(std::span(ReadBuffer).first(Bytes));
  LastReceived = Env.Time.now().time_since_epoch().count();
  // While calls wait, another frame is expected: the timeout starts again.
  AwaitingReplySince = PendingCalls > 0 ? LastReceived.load() : 0;
  Frame Item;
  DecodeStatus State = Codec.next(Item);
  for (; State == DecodeStatus::Ready && !Closed; State = Codec.next(Item)) {
    Env.Events.observe(Item.Time);
    Env.Counters.In[Item.Body.index()].add(Item.Size);
    OnFrame(shared_from_this(), Item);
  }
  if (State == DecodeStatus::Invalid) {
    ++Env.Counters.FramesRejected;
    finish(Codec.reason());
    return;
  }
  read();
}

bool Link::send(const Message &Body) noexcept {
  const std::lock_guard Lock(Mutex);
  if (Closed)
    return false;
  // Checked before encoding, so the queue may exceed the limit by one frame.
  if (WriteQueue.size() > Env.MaxQueuedBytes) {
    close("write queue full: peer does not read fast enough");
    return false;
  }
  const Frame Item{.Sequence = ++Sequence,
                   .Time = Env.Events.logicalNow(),
                   .Body = Body,
                   .Size = 0};
  const bool WasEmpty = WriteQueue.empty();
  const auto Bytes = FrameCodec::encode(Item, WriteQueue);
  if (!Bytes) {
    core::LogLine(core::LogLevel::Error, "link.message_too_large")
        .field("peer", Peer.Sender)
        .field("type", messageName(Body.index()));
    return false;
  }
  Env.Counters.Out[Body.index()].add(*Bytes);
  if (ToOtherZone)
    Env.Counters.OutToOtherZones[Body.index()].add(*Bytes);
  const core::TimePoint Now = Env.Time.now();
  LastSent = Now.time_since_epoch().count();
  if (WasEmpty)
    QueuedAt = Now;
  if (!Writing) {
    Writing = true;
    asio::post(Transport->executor(),
               [Self = shared_from_this()] { Self->write(); });
  }
  return true;
}

// Writes everything that was queued since the last write in one operation.
void Link::write() {
  {
    const std::lock_guard Lock(Mutex);
    WriteBuffer.clear();
    if (Closed || WriteQueue.empty()) {
      Writing = false;
      return;
    }
    std::swap(WriteBuffer, WriteQueue);
    WriteQueuedAt = QueuedAt;
  }
  ++Env.Counters.Writes;
  Transport->write(
      asio::buffer(WriteBuffer),
      [Self = shared_from_this()](const boost::system::error_code &Failed,
                                  std::size_t /*Size*/) {
        if (Failed) {
          Self->finish(Failed.message());
          return;
        }
        Self->recordWrite();
        Self->write();
      });
}

void Link::recordWrite() {
  const core::TimePoint Now = Env.Time.now();
  const auto Waited = std::chrono::duration_cast<std::chrono::milliseconds>(
      Now - WriteQueuedAt);
  if (Waited < internal::SlowWrite)
    return;
  ++Env.Counters.SlowWrites;
  if (Now < NextSlowWriteLog)
    return;
  NextSlowWriteLog = Now + internal::SlowWriteLogInterval;
  core::LogLine(core::LogLevel::Info, "link.slow")
      .field("peer", Peer.Sender)
      .field("link", Number)
      .field("waited_ms", Waited.count())
      .field("bytes", WriteBuffer.size());
}

void Link::close(std::string_view Reason) noexcept {
  asio::post(Transport->executor(),
             [Self = shared_from_this(), Text = std::string(Reason)] {
               Self->finish(Text);
             });
}

void Link::finish(std::string_view Reason) noexcept {
  if (Closed.exchange(true))
    return;
  Transport->close();
  core::LogLine(core::LogLevel::Info, "link.closed")
      .field("peer", Peer.Sender)
      .field("link", Number)
      .field("reason", Reason);
  if (OnClosed)
    OnClosed(shared_from_this());
  OnClosed = nullptr;
}

} // namespace jujubecart::peers
