/// A call to an upstream, over a connection of this router's own, or by way of
/// another router if none comes about.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "daemons/relay/forwarding_protocol.h"
#include "daemons/relay/relay_context.h"
#include "spindleweir/drivers/stream_client.h"

namespace spindleweir {

/// At most one of its ways sends the request at a time, and another one only
/// once that way has proved that it sent nothing.
class UpstreamCall : public StreamCall {
 public:
  /// The options are those of a call to the upstream itself.
  UpstreamCall(RelayContext& aContext, std::string aInstance,
               StreamCallOptions aOptions);
  ~UpstreamCall() override;
  UpstreamCall(const UpstreamCall&) = delete;
  UpstreamCall& operator=(const UpstreamCall&) = delete;

  void Pause(bool aPaused) override;
  void Abandon() override;
  bool Sent() const override { return mSentDirectly || mSentByForwarder; }
  /// Whether another router has the request.
  bool IsForwarded() const { return mSentByForwarder; }
  /// Address of the router that forwards the call; empty: none.
  std::string Forwarder() const {
    return mSentByForwarder ? mForwarderAddress : "";
  }

 private:
  /// State of this router's own connection.
  enum class Direct {
    kNone,     ///< Not tried, or failed.
    kPending,  ///< No answer so far.
    kReady,    ///< Was made while a forwarder had the request.
  };

  void Begin();
  void StartDirect(Millis aConnectTimeout);
  /// Tries whether a lost link is back.
  void StartTrial();
  bool MaySendDirectly();
  void HandleDirectEnd(StreamEnd aEnd);
  /// Hands the request to the next forwarder; false if there is none.
  bool StartForwarder();
  bool MaySendToForwarder();
  void HandleForwarderHead(const AnswerHead& aHead);
  void HandleForwarderEnd(StreamEnd aEnd);
  /// The current forwarder has sent nothing.
  void HandleForwarderRefused();
  /// Options for one way, with the caller's hooks for data.
  StreamCallOptions OptionsOfWay();
  void Finish(StreamEnd aEnd);
  /// Destroys a call that may be on the stack.
  void Release(std::unique_ptr<StreamCall> aCall);

  RelayContext& mContext;
  std::string mInstance;
  StreamCallOptions mOptions;
  std::unique_ptr<StreamCall> mDirect;
  std::unique_ptr<StreamCall> mTrial;
  std::unique_ptr<StreamCall> mForwarder;
  std::vector<std::string> mForwarders;  ///< Still to be tried, last one first.
  std::string mForwarderAddress;         ///< Of the current one.
  bool mForwardersListed = false;
  Direct mDirectState = Direct::kNone;
  Millis mDirectStartedAt = 0;  ///< 0: not tried.
  bool mSentDirectly = false;
  bool mSentByForwarder = false;
  bool mIsHeldBack = false;  ///< The caller's hook forbade to send.
  bool mIsAnswered = false;  ///< The forwarder relays the upstream's answer.
  /// Why the current forwarder sent nothing; empty: it did not say so.
  std::optional<ForwardingRefusal> mRefusal;
  std::unique_ptr<Timer> mForwardTimer;
  std::unique_ptr<Timer> mTimer;
};

}  // namespace spindleweir
