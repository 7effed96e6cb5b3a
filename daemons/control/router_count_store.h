/// How many routers there are, kept on a control's disk: a router that starts
/// with all others must know at once with how many it shares what engines read,
/// and the others ask control within half a second of each other only.
#pragma once

#include <string>

#include "spindleweir/core/clock.h"

namespace spindleweir {

/// One file. A count that is lost or old costs time at a start, nothing else.
class RouterCountStore {
 public:
  explicit RouterCountStore(std::string aPath) : mPath(std::move(aPath)) {}

  /// 0: none was kept, or what was cannot be read.
  int Load() const;
  /// Writes a count that differs from the one kept by a tenth or more.
  void Save(int aRouters, Millis aNow);

 private:
  std::string mPath;
  int mSaved = 0;
  Millis mTriedAt = -1;
};

}  // namespace spindleweir
