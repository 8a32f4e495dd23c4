#include "request_body.hpp"

#include <algorithm>

namespace jujubecart::callers::internal {

core::Awaitable<bool> RequestBody::prefetch(std::size_t Size) {
  auto &Reader = Link.reader();
  constexpr std::size_t MaxReadBytes = 4096;
  while (!Reader.complete() && Prefix.size() < Size) {
    const std::size_t Before = Prefix.size();
    const std::size_t ReadBytes = std::min(MaxReadBytes, Size - Before);
    Prefix.resize(Before + ReadBytes);
    const auto Count = co_await Reader.readBody(
        Link.socket(), {Prefix.data() + Before, ReadBytes});
    if (!Count) {
      Failed = true;
      Malformed = Count.error() == core::Error::Malformed;
      co_return false;
    }
    Prefix.resize(Before + *Count);
  }
  FullyBuffered = Reader.complete();
  co_return true;
}

core::Awaitable<core::Result<std::size_t>>
BodyCursor::read(std::span<char> Buffer) {
  if (Position < Body.Prefix.size()) {
    const std::size_t Count =
        std::min(Buffer.size(), Body.Prefix.size() - Position);
    std::copy_n(Body.Prefix.data() + Position, Count, Buffer.data());
    Position += Count;
    co_return Count;
  }
  if (Body.FullyBuffered)
    co_return std::size_t{0};
  Body.Streamed = true;
  auto &Reader = Body.Link.reader();
  const auto Count = co_await Reader.readBody(Body.Link.socket(), Buffer);
  if (!Count) {
    Body.Failed = true;
    Body.Malformed = Count.error() == core::Error::Malformed;
  }
  co_return Count;
}

} // namespace jujubecart::callers::internal
