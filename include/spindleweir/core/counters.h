/// Counters of a process, written as Prometheus text.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spindleweir {

/// All counters and gauges of one process. Not for use from several threads.
class Counters {
 public:
  /// Adds to a counter. aName without prefix or "_total"; aLabels as written
  /// between the braces, or empty.
  void Add(std::string_view aName, std::string_view aLabels = {},
           std::int64_t aAmount = 1);

  /// Sets a gauge.
  void Set(std::string_view aName, std::int64_t aValue);

  /// Adds a value to a histogram with buckets that double from 1.
  void Observe(std::string_view aName, std::int64_t aValue);

  /// The value of a counter or gauge; 0 where it was never touched.
  std::int64_t Value(std::string_view aName,
                     std::string_view aLabels = {}) const;

  /// All values in the Prometheus text format.
  std::string Text() const;

 private:
  struct Family {
    bool mGauge = false;
    std::map<std::string, std::int64_t, std::less<>> mValues;
  };

  /// Values up to 2^i stand in bucket i, larger ones in the last.
  struct Histogram {
    std::array<std::int64_t, 18> mBuckets{};
    std::int64_t mSum = 0;
    std::int64_t mCount = 0;
  };

  Family& FamilyOf(std::string_view aName);

  std::map<std::string, Family, std::less<>> mFamilies;
  std::map<std::string, Histogram, std::less<>> mHistograms;
};

}  // namespace spindleweir
