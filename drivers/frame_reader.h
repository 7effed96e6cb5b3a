/// Reads the stream of an engine: a token frame a line.
#pragma once

#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/json_codec.h"
#include "spindleweir/servers/routing/token_filter.h"

namespace spindleweir {

/// Cuts a byte stream into lines and reads each as a frame.
class FrameReader {
 public:
  explicit FrameReader(std::function<void(const TokenFrame&)> aOnFrame)
      : mOnFrame(std::move(aOnFrame)) {}

  void Take(std::string_view aBytes) {
    mRest += aBytes;
    std::size_t begin = 0;
    std::vector<TokenFrame> frames;
    for (std::size_t end = mRest.find('\n'); end != std::string::npos;
         end = mRest.find('\n', begin)) {
      frames.push_back(
          Read(std::string_view(mRest).substr(begin, end - begin)));
      begin = end + 1;
    }
    mRest.erase(0, begin);
    if (mRest.size() > kMaximumLine) {
      mRest.clear();
      frames.push_back(Broken("line too long"));
    }
    // The receiver may destroy the call and with it this reader.
    const std::function<void(const TokenFrame&)> receiver = mOnFrame;
    for (const TokenFrame& frame : frames) {
      receiver(frame);
    }
  }

 private:
  /// A longer line is no frame.
  static constexpr std::size_t kMaximumLine = 64 * 1024;

  static TokenFrame Broken(const std::string& aWhy) {
    TokenFrame frame;
    frame.mError = aWhy;
    return frame;
  }

  static TokenFrame Read(std::string_view aLine) {
    try {
      return FromJson<TokenFrame>(ParseJson(aLine));
    } catch (const Error& error) {
      return Broken(error.what());
    }
  }

  std::function<void(const TokenFrame&)> mOnFrame;
  std::string mRest;
};

}  // namespace spindleweir
