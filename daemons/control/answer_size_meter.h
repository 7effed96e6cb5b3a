/// Counts the bytes of each part of the answers to control.sync.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "spindleweir/core/counters.h"
#include "spindleweir/daemons/sync_messages.h"
#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// Adds to the counter "sync_answer_bytes", labelled by part (loads, upstreams,
/// beats, controls, configurations, not_silent, rest) and by poller (control;
/// near: a router that reports its loads here; far: any other router), and logs
/// the sums every 10 s. Only one answer in kAnswersPerSample is measured, and
/// is counted for all of them: encoding an answer a second time takes 0.2 ms on
/// a control that has 0.15 cores.
class AnswerSizeMeter {
 public:
  AnswerSizeMeter(EventLoop& aLoop, Counters& aCounters);

  void Count(const SyncRequest& aRequest, const SyncAnswer& aAnswer);

 private:
  void Log() const;

  Counters& mCounters;
  std::uint64_t mAnswers = 0;
  std::map<std::string, std::int64_t> mBytes;  ///< By "poller part".
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
