/// Metrics of a process, written in the Prometheus text format.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace spindleweir {

/// All counters, gauges and histograms of one process. Not thread-safe.
class Counters {
 public:
  /// Adds to a counter. aName: without prefix and "_total"; aLabels: the text
  /// between the braces, or empty.
  void Add(std::string_view aName, std::string_view aLabels = {},
           std::int64_t aAmount = 1);

  /// Sets a gauge.
  void Set(std::string_view aName, std::int64_t aValue);

  /// Adds a value to a histogram whose bucket bounds double from 1.
  void Observe(std::string_view aName, std::int64_t aValue);

  /// The value of a counter or gauge; 0 if it was never set.
  std::int64_t Value(std::string_view aName,
                     std::string_view aLabels = {}) const;

  /// All metrics in the Prometheus text format.
  std::string Text() const;

 private:
  struct Family {
    bool mGauge = false;
    std::map<std::string, std::int64_t, std::less<>> mValues;
  };

  /// Bucket i counts values up to 2^i, the last one also all larger values.
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
