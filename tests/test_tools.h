/// Small things that all tests use: named sections, a temporary folder.
#pragma once

#include <criterion/criterion.h>

#include <functional>
#include <string>

#include "spindleweir/core/error.h"
#include "spindleweir/drivers/event_loop.h"

namespace spindleweir {

/// A part of a test's story; nested sections name a failure's place.
class Section {
 public:
  explicit Section(const char* aText);
  ~Section();
  Section(const Section&) = delete;
  Section& operator=(const Section&) = delete;

  /// The texts of all open sections.
  static const char* Path();

 private:
  std::size_t mLength;
};

/// A folder of its own that goes with the object.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  std::string Path(const std::string& aName) const {
    return mPath + "/" + aName;
  }

 private:
  std::string mPath;
};

/// Runs a loop until a condition holds; false where it does not within 20 s.
bool RunLoopUntil(EventLoop& aLoop, const std::function<bool()>& aCondition);

/// The code of the Error that aCall throws; kOk where it throws none.
ResultCode CodeThrownBy(const std::function<void()>& aCall);

}  // namespace spindleweir

#define SECTION(aText) if (const spindleweir::Section section(aText); true)
#define CHECK(aCondition) \
  cr_expect(aCondition, "%s: %s", spindleweir::Section::Path(), #aCondition)
/// The same, telling what was found instead: a std::string.
#define CHECK_FOUND(aCondition, aFound)                                   \
  cr_expect(aCondition, "%s: %s, found %s", spindleweir::Section::Path(), \
            #aCondition, (aFound).c_str())
#define REQUIRE(aCondition) \
  cr_assert(aCondition, "%s: %s", spindleweir::Section::Path(), #aCondition)
