#include "tests/daemons/link_cut.h"

#include <utility>
#include <vector>

namespace spindleweir {

/// A call whose link may be cut: then its receiver hears no more of it.
class LinkCut::Link : public StreamCall {
 public:
  Link(LinkCut& aCut, EventLoop& aLoop, StreamCallOptions aOptions)
      : mLinks(aCut.mLinks),
        mLoop(aLoop),
        mAddress(aOptions.mServer.Text()),
        mOnRefused(aOptions.mOnRefused),
        mOnEnd(std::move(aOptions.mOnEnd)) {
    mLinks->push_back(this);
    if (aCut.IsCut(mAddress)) {
      const bool hangs = aCut.mMode == CutMode::kHang;
      mTimer = mLoop.After(hangs ? aOptions.mConnectTimeout : 0, [this, hangs] {
        if (!hangs && mOnRefused) {
          mOnRefused();
        }
        End(StreamEnd::kNotSent);
      });
      return;
    }
    const auto guard = [this](auto aCall) {
      return [this, aCall](const auto& aValue) {
        if (!mIsSilent && aCall) {
          aCall(aValue);
        }
      };
    };
    aOptions.mOnHead = guard(std::move(aOptions.mOnHead));
    aOptions.mOnData = guard(std::move(aOptions.mOnData));
    aOptions.mOnEnd = [this](StreamEnd aEnd) {
      if (!mIsSilent) {
        End(aEnd);
      }
    };
    mCall = StartStreamCall(mLoop, std::move(aOptions));
  }

  ~Link() override { mLinks->remove(this); }
  Link(const Link&) = delete;
  Link& operator=(const Link&) = delete;

  void Pause(bool aPaused) override {
    if (mCall != nullptr) {
      mCall->Pause(aPaused);
    }
  }

  void Abandon() override {
    mTimer.reset();
    mOnRefused = nullptr;
    mOnEnd = nullptr;
    if (mCall != nullptr) {
      mCall->Abandon();
    }
  }

  bool Sent() const override { return mCall != nullptr && mCall->Sent(); }

  const std::string& Address() const { return mAddress; }

  /// The link goes down while the call is open.
  void Cut(CutMode aMode) {
    if (aMode == CutMode::kHang) {
      mIsSilent = true;
    }
    if (aMode == CutMode::kReset && mCall != nullptr && mOnEnd) {
      const StreamEnd end =
          mCall->Sent() ? StreamEnd::kLost : StreamEnd::kNotSent;
      mCall->Abandon();
      mTimer = mLoop.After(0, [this, end] { End(end); });
    }
  }

 private:
  void End(StreamEnd aEnd) {
    // The receiver may destroy this call.
    const std::function<void(StreamEnd)> call = std::exchange(mOnEnd, nullptr);
    if (call) {
      call(aEnd);
    }
  }

  std::shared_ptr<std::list<Link*>> mLinks;
  EventLoop& mLoop;
  std::string mAddress;
  std::function<void()> mOnRefused;
  std::function<void(StreamEnd)> mOnEnd;
  std::unique_ptr<StreamCall> mCall;
  std::unique_ptr<Timer> mTimer;
  bool mIsSilent = false;
};

StartCallHook LinkCut::Hook() {
  return [this](EventLoop& aLoop, StreamCallOptions aOptions) {
    return std::make_unique<Link>(*this, aLoop, std::move(aOptions));
  };
}

void LinkCut::Cut(CutMode aMode, std::set<std::string> aAddresses) {
  mMode = aMode;
  mAddresses = std::move(aAddresses);
  const std::vector<Link*> links(mLinks->begin(), mLinks->end());
  for (Link* link : links) {
    if (mAddresses.contains(link->Address())) {
      link->Cut(aMode);
    }
  }
}

}  // namespace spindleweir
