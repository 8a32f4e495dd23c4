#include <jujubecart/peers/link.hpp>

#include "stream.hpp"

#include <jujubecart/core/log.hpp>

namespace jujubecart::peers {

namespace asio = boost::asio;

namespace internal {

core::TimePoint toInstant(core::TimePoint::rep Ticks) noexcept {
  return core::TimePoint(core::TimePoint::duration(Ticks));
}

} // namespace internal

Link::Link(std::uint64_t Number, bool Dialed,
           std::shared_ptr<internal::Stream> Io,
           const Environment &Surroundings)
    : Number(Number), Dialed(Dialed), Io(std::move(Io)), Env(Surroundings),
      OpenedAt(Env.Time.now()), Received(OpenedAt.time_since_epoch().count()),
      Sent(OpenedAt.time_since_epoch().count()) {}

Link::~Link() = default;

core::TimePoint Link::lastReceived() const noexcept {
  return internal::toInstant(Received);
}

core::TimePoint Link::lastSent() const noexcept {
  return internal::toInstant(Sent);
}

void Link::expectReply() noexcept {
  core::TimePoint::rep None = 0;
  Owed.compare_exchange_strong(None, Env.Time.now().time_since_epoch().count());
}

void Link::askStarted() noexcept {
  ++Work;
  ++Asked;
  expectReply();
}

void Link::askEnded(bool Silent) noexcept {
  --Work;
  if (--Asked == 0 && !Silent)
    Owed = 0;
}

std::optional<core::TimePoint> Link::owedSince() const noexcept {
  const core::TimePoint::rep Since = Owed;
  if (Since == 0)
    return std::nullopt;
  return internal::toInstant(Since);
}

void Link::start(std::function<void(const LinkPtr &, const Frame &)> OnFrame,
                 std::function<void(const LinkPtr &)> OnClosed) {
  this->OnFrame = std::move(OnFrame);
  this->OnClosed = std::move(OnClosed);
  asio::post(Io->executor(), [Self = shared_from_this()] { Self->read(); });
}

void Link::read() {
  if (Closed)
    return;
  Io->read(asio::buffer(Input),
           [Self = shared_from_this()](const boost::system::error_code &Failed,
                                       std::size_t Size) {
             if (Failed)
               Self->finish(Failed.message());
             else
               Self->onRead(Size);
           });
}

void Link::onRead(std::size_t Size) {
  Codec.feed(std::span(Input).first(Size));
  Received = Env.Time.now().time_since_epoch().count();
  // Calls that still wait make the peer owe another frame.
  Owed = Asked > 0 ? Received.load() : 0;
  Frame Item;
  FrameState State = Codec.next(Item);
  for (; State == FrameState::Ready && !Closed; State = Codec.next(Item)) {
    Env.Events.observe(Item.Time);
    Env.Counters.In[Item.Body.index()].add(Item.Size);
    OnFrame(shared_from_this(), Item);
  }
  if (State == FrameState::Invalid) {
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
  // The limit is checked first, so one frame may exceed it.
  if (Waiting.size() > Env.MaxQueuedBytes) {
    close("write queue full");
    return false;
  }
  const Frame Item{.Sequence = ++Sequence,
                   .Time = Env.Events.logicalNow(),
                   .Body = Body,
                   .Size = 0};
  const auto Size = FrameCodec::encode(Item, Waiting);
  if (!Size) {
    core::LogLine(core::LogLevel::Error, "link.message_too_large")
        .field("peer", Peer.Sender)
        .field("type", messageName(Body.index()));
    return false;
  }
  Env.Counters.Out[Body.index()].add(*Size);
  Sent = Env.Time.now().time_since_epoch().count();
  if (!Writing) {
    Writing = true;
    asio::post(Io->executor(), [Self = shared_from_this()] { Self->write(); });
  }
  return true;
}

// Takes everything that was queued since the last write.
void Link::write() {
  {
    const std::lock_guard Lock(Mutex);
    Active.clear();
    if (Closed || Waiting.empty()) {
      Writing = false;
      return;
    }
    std::swap(Active, Waiting);
  }
  ++Env.Counters.Writes;
  Io->write(asio::buffer(Active),
            [Self = shared_from_this()](const boost::system::error_code &Failed,
                                        std::size_t /*Size*/) {
              if (Failed)
                Self->finish(Failed.message());
              else
                Self->write();
            });
}

void Link::close(std::string_view Reason) noexcept {
  asio::post(Io->executor(),
             [Self = shared_from_this(), Text = std::string(Reason)] {
               Self->finish(Text);
             });
}

void Link::finish(std::string_view Reason) noexcept {
  if (Closed.exchange(true))
    return;
  Io->close();
  core::LogLine(core::LogLevel::Info, "link.closed")
      .field("peer", Peer.Sender)
      .field("link", Number)
      .field("reason", Reason);
  if (OnClosed)
    OnClosed(shared_from_this());
  OnClosed = nullptr;
}

} // namespace jujubecart::peers
