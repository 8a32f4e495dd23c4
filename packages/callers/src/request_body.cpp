#include "request_body.hpp"

#include <algorithm>

namespace jujubecart::callers::internal {

bool RequestBody::reserve(std::size_t Bytes, std::size_t FreeBytes) {
  if (Bytes <= FreeBytes + TakenBytes)
    return true;
  const std::size_t Missing = Bytes - FreeBytes - TakenBytes;
  if (!Budget.tryTake(Missing))
    return false;
  TakenBytes += Missing;
  return true;
}

core::Awaitable<bool> RequestBody::prefetch(std::size_t Size,
                                            std::size_t MaxSize) {
  auto &Reader = Link.reader();
  constexpr std::size_t MaxReadBytes = 4096;
  while (!Reader.complete() && Prefix.size() < MaxSize) {
    const std::size_t Before = Prefix.size();
    const std::size_t ReadBytes = std::min(MaxReadBytes, MaxSize - Before);
    if (!reserve(Before + ReadBytes, Size))
      break;
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
