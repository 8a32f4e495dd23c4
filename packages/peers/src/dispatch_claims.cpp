#include "dispatch_state.hpp"

namespace jujubecart::peers {

core::Awaitable<void> DispatchService::claimOrderKey(GroupState Target,
                                                     decision::CallToken Token,
                                                     core::OrderKey Key,
                                                     core::RequestId Request,
                                                     core::TimePoint Deadline) {
  const std::pair Id{Key, Request};
  {
    const std::lock_guard Lock(ClaimMutex);
    ++RunningClaims[Id].Operations;
  }
  const std::string Service = Target->Service;
  const core::Result<void> Outcome =
      co_await Env.Claims.claim(Service, Key, Request, Deadline);
  bool Release = false;
  {
    const std::lock_guard Lock(ClaimMutex);
    RunningClaim &Claim = RunningClaims[Id];
    if (--Claim.Operations == 0) {
      Release = Claim.ReleaseWhenDone;
      RunningClaims.erase(Id);
    }
  }
  if (Release)
    Env.Claims.release(Service, Key, Request);
  onClaimed(Target, Token, Outcome);
}

void DispatchService::onClaimed(const GroupState &Target,
                                decision::CallToken Token,
                                const core::Result<void> &Outcome) {
  const std::lock_guard Lock(Target->Mutex);
  const auto Found = Target->Calls.find(Token);
  // If the call was withdrawn, the claim is kept: the same request may ask
  // another dispatcher.
  if (Found == Target->Calls.end())
    return;
  Call &Item = Found->second;
  if (Outcome) {
    Item.Claimed = true;
    if (Item.DeferredGrant)
      grant(*Target, Item, *Item.DeferredGrant);
    return;
  }
  decision::Decisions Out;
  if (Item.DeferredGrant)
    Target->Dispatcher->release(Item.DeferredGrant->GrantId,
                                internal::cancelledReport(), Env.Time.now(),
                                Out);
  else
    Target->Dispatcher->withdraw(Token, Env.Time.now(), Out);
  const bool IsCoreError = Outcome.error().category() == core::errorCategory();
  refuse(*Target, Token,
         IsCoreError ? static_cast<core::Error>(Outcome.error().value())
                     : core::Error::Unavailable,
         std::chrono::milliseconds(0), 0);
  applyDecisions(*Target, Out);
}

void DispatchService::releaseClaim(const std::string &Service,
                                   core::OrderKey Key,
                                   core::RequestId Request) {
  {
    const std::lock_guard Lock(ClaimMutex);
    const auto Found = RunningClaims.find({Key, Request});
    if (Found != RunningClaims.end()) {
      Found->second.ReleaseWhenDone = true;
      return;
    }
  }
  Env.Claims.release(Service, Key, Request);
}

} // namespace jujubecart::peers
