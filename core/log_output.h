/// Where log lines go: a bounded buffer before a file descriptor that may be
/// slow or stuck. Adding a line never blocks.
#pragma once

#include <cstdint>
#include <deque>
#include <string>
#include <string_view>

namespace spindleweir {

/// Lines for one descriptor. Not for use from several threads.
class LogOutput {
 public:
  /// aCapacity: bytes that may wait.
  LogOutput(int aFd, std::size_t aCapacity);

  /// Takes a line without its end. Lines that are not important are left out
  /// once half of the buffer is taken, all once it is full.
  void Add(std::string_view aLine, bool aImportant);
  /// Writes what can be written without waiting.
  void Flush();
  /// Lines that were left out so far.
  std::int64_t DroppedLines() const { return mDroppedLines; }
  std::size_t WaitingBytes() const { return mBytes; }

 private:
  bool Writable() const;
  void Push(std::string aLine);

  int mFd;
  std::size_t mCapacity;
  std::deque<std::string> mLines;
  std::size_t mBytes = 0;
  std::size_t mWritten = 0;  ///< Of the first line.
  std::int64_t mDroppedLines = 0;
  std::int64_t mReportedDroppedLines = 0;
};

}  // namespace spindleweir
