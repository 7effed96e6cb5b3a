/// Reads messages that consist of columns, value by value. A value of the wrong
/// type is replaced by an invalid one, so that only its row is rejected and not
/// the whole message.
#pragma once

#include <json/value.h>

#include <cstdint>
#include <string>
#include <type_traits>
#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

/// Placeholders for values of the wrong type. The validation of rows rejects
/// them: numbers must not be negative, names must not contain this character.
inline constexpr int kInvalidNumber = -1;
inline constexpr const char* kInvalidName = "\x01";

/// A codec for a member template `Fields`, like JsonReader.
class LenientColumns {
 public:
  /// Throws kBadField if aObject is not a JSON object.
  explicit LenientColumns(const Json::Value& aObject) : mObject(aObject) {
    if (!aObject.isObject()) {
      throw Error(ResultCode::kBadField, "the table must be an object");
    }
  }

  /// Throws kBadField if the column is not an array.
  template <class T>
  void Field(const char* aName, std::vector<T>& aColumn) {
    const Json::Value& values = mObject[aName];
    if (values.isNull()) {
      return;
    }
    if (!values.isArray()) {
      throw Error(ResultCode::kBadField,
                  std::string(aName) + " must be an array");
    }
    aColumn.clear();
    aColumn.reserve(values.size());
    for (const Json::Value& value : values) {
      aColumn.push_back(ValueOf<T>(value));
    }
  }
  template <class T>
  void Sparse(const char* aName, std::vector<T>& aColumn) {
    Field(aName, aColumn);
  }
  template <class T>
  void Required(const char* aName, std::vector<T>& aColumn) {
    if (!mObject.isMember(aName)) {
      throw Error(ResultCode::kBadField, std::string(aName) + " is missing");
    }
    Field(aName, aColumn);
  }

 private:
  template <class T>
  static T ValueOf(const Json::Value& aValue) {
    if constexpr (std::is_same_v<T, std::string>) {
      return aValue.isString() ? aValue.asString() : kInvalidName;
    } else if constexpr (std::is_same_v<T, int>) {
      return aValue.isInt() ? aValue.asInt() : kInvalidNumber;
    } else if constexpr (std::is_same_v<T, std::int64_t>) {
      return aValue.isInt64() ? aValue.asInt64() : kInvalidNumber;
    } else {
      return aValue.isNumeric() ? aValue.asDouble() : kInvalidNumber;
    }
  }

  const Json::Value& mObject;
};

}  // namespace spindleweir
