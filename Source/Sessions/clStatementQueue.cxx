#include "clStatementQueue.h"

#include <algorithm>
#include <boost/asio/steady_timer.hpp>

namespace catkinloom {

void
statement_queue::Wait(const waiting_statement& aStatement, time_point aUntil)
{
  fiber_wait wait;
  const auto position =
    std::find_if(mEntries.begin(), mEntries.end(), [&](const entry& aOther) {
      return PrecedesInQueue(aStatement, aOther);
    });
  const auto self = mEntries.insert(position, entry{ aStatement, &wait });
  boost::asio::steady_timer timer(mLoop.Context());
  // The timer's handler may run after this function has returned and must not
  // access its stack frame then.
  auto alive = std::make_shared<fiber_wait*>(&wait);
  timer.expires_after(
    std::max<nanoseconds>(aUntil - mLoop.Clock().Now(), nanoseconds(0)));
  timer.async_wait([alive](const boost::system::error_code&) {
    if (*alive != nullptr) {
      (*alive)->Notify();
    }
  });
  wait.Wait();
  *alive = nullptr;
  mEntries.erase(self);
}

void
statement_queue::NotifyNext(bool aIsLeader)
{
  if (entry* next = ChooseNext(mEntries, aIsLeader, mLoop.Clock().Now())) {
    next->mIsNotified = true;
    next->mWait->Notify();
  }
}

void
statement_queue::NotifyAll()
{
  for (const entry& waiting : mEntries) {
    waiting.mWait->Notify();
  }
}

} // namespace catkinloom
