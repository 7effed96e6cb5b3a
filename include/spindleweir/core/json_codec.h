/// JSON for typed messages: a message lists its fields once, in a member
/// template `Fields(codec)`, which serves both reading and writing.
///
///     struct Example {
///       std::string mName;
///       template <class Codec> void Fields(Codec& aCodec) {
///         aCodec.Field("name", mName);
///       }
///     };
#pragma once

#include <json/value.h>

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "spindleweir/core/error.h"

namespace spindleweir {

/// Parses strict JSON: no comments, no duplicate keys, limited depth.
/// Throws kMalformedJson.
Json::Value ParseJson(std::string_view aText);

/// Writes compact JSON on one line.
std::string DumpJson(const Json::Value& aValue);

/// A JSON array of strings.
Json::Value ListOf(const std::vector<std::string>& aTexts);

/// Writes the fields of a message into a JSON object.
class JsonWriter {
 public:
  explicit JsonWriter(Json::Value& aObject) : mObject(aObject) {}

  template <class T>
  void Field(const char* aName, T& aValue) {
    // Names are string literals, so they need no copy.
    mObject[Json::StaticString(aName)] = Write(aValue);
  }
  /// Omits a value that isn't stated; writes one that is, also if it is empty.
  template <class T>
  void Field(const char* aName, std::optional<T>& aValue) {
    if (aValue.has_value()) {
      Field(aName, *aValue);
    }
  }
  template <class T>
  void Required(const char* aName, T& aValue) {
    Field(aName, aValue);
  }
  /// Omits a value of 0, false or empty, which must be the reader's default.
  template <class T>
  void Sparse(const char* aName, T& aValue) {
    Json::Value value = Write(aValue);
    if (!IsEmptyValue(value)) {
      mObject[Json::StaticString(aName)] = std::move(value);
    }
  }
  /// Omits an empty list, which restricts nothing.
  template <class T>
  void Restriction(const char* aName, std::vector<T>& aList) {
    Sparse(aName, aList);
  }

 private:
  static bool IsEmptyValue(const Json::Value& aValue) {
    switch (aValue.type()) {
      case Json::stringValue:
        return *aValue.asCString() == '\0';
      case Json::booleanValue:
        return !aValue.asBool();
      case Json::intValue:
      case Json::uintValue:
      case Json::realValue:
        return aValue.asDouble() == 0;
      case Json::arrayValue:
      case Json::objectValue:
      case Json::nullValue:
        return aValue.empty();
    }
    return false;
  }

  static Json::Value Write(std::int64_t& aValue) {
    return Json::Value(static_cast<Json::Int64>(aValue));
  }
  static Json::Value Write(std::uint64_t& aValue) {
    return Json::Value(static_cast<Json::UInt64>(aValue));
  }
  template <class T>
  static Json::Value Write(std::vector<T>& aList) {
    Json::Value array(Json::arrayValue);
    for (T& item : aList) {
      array.append(Write(item));
    }
    return array;
  }
  /// Writes a message with its own Fields(), or a value that JsonCpp supports.
  template <class T>
  static Json::Value Write(T& aValue) {
    if constexpr (requires(JsonWriter & aWriter) { aValue.Fields(aWriter); }) {
      Json::Value object(Json::objectValue);
      JsonWriter writer(object);
      aValue.Fields(writer);
      return object;
    } else {
      return Json::Value(aValue);
    }
  }

  Json::Value& mObject;
};

/// Reads the fields of a message from a JSON object. Throws kBadField, naming
/// the field, if it has the wrong type, is required and missing, or is unknown
/// and the reader is strict.
class JsonReader {
 public:
  /// The path of a value; formatted as text only for error messages.
  struct FieldPath {
    const FieldPath* mParent = nullptr;
    const char* mName = nullptr;  ///< nullptr: an array element.
    std::size_t mIndex = 0;

    std::string Text() const;
  };

  JsonReader(const Json::Value& aObject, const FieldPath* aPath, bool aStrict);

  template <class T>
  void Field(const char* aName, T& aValue) {
    if (mStrict) {
      mKnown.insert(aName);
    }
    const Json::Value* value =
        mObject.find(aName, aName + std::char_traits<char>::length(aName));
    if (value != nullptr && !value->isNull()) {
      Read(*value, FieldPath{mPath, aName}, aValue);
    }
  }
  /// A field that is there is stated, also if it is empty or null.
  template <class T>
  void Field(const char* aName, std::optional<T>& aValue) {
    if (mObject.isMember(aName)) {
      Field(aName, aValue.emplace());
    }
  }
  template <class T>
  void Required(const char* aName, T& aValue) {
    if (!mObject.isMember(aName)) {
      throw Error(ResultCode::kBadField,
                  FieldPath{mPath, aName}.Text() + " is missing");
    }
    Field(aName, aValue);
  }

  template <class T>
  void Sparse(const char* aName, T& aValue) {
    Field(aName, aValue);
  }
  /// A list of what is allowed; without it all is. A strict reader refuses an
  /// empty one, whose writer may mean that nothing is.
  template <class T>
  void Restriction(const char* aName, std::vector<T>& aList) {
    Field(aName, aList);
    if (mStrict && mObject.isMember(aName) && aList.empty()) {
      throw Error(ResultCode::kBadField,
                  FieldPath{mPath, aName}.Text() +
                      " must list something, or be left out to allow all");
    }
  }

  /// If the reader is strict, throws kBadField for the first unknown field.
  void RejectUnknownFields() const;

 private:
  static void Read(const Json::Value& aIn, const FieldPath& aPath,
                   std::string& aOut);
  static void Read(const Json::Value& aIn, const FieldPath& aPath, bool& aOut);
  static void Read(const Json::Value& aIn, const FieldPath& aPath, int& aOut);
  static void Read(const Json::Value& aIn, const FieldPath& aPath,
                   std::int64_t& aOut);
  static void Read(const Json::Value& aIn, const FieldPath& aPath,
                   std::uint64_t& aOut);
  static void Read(const Json::Value& aIn, const FieldPath& aPath,
                   double& aOut);
  static void Read(const Json::Value& aIn, const FieldPath&,
                   Json::Value& aOut) {
    aOut = aIn;
  }
  template <class T>
  void Read(const Json::Value& aIn, const FieldPath& aPath,
            std::vector<T>& aOut) const {
    if (!aIn.isArray()) {
      throw Error(ResultCode::kBadField, aPath.Text() + " must be an array");
    }
    aOut.clear();
    for (Json::ArrayIndex i = 0; i < aIn.size(); i++) {
      aOut.emplace_back();
      Read(aIn[i], FieldPath{&aPath, nullptr, i}, aOut.back());
    }
  }
  template <class T>
  void Read(const Json::Value& aIn, const FieldPath& aPath, T& aOut) const {
    JsonReader reader(aIn, &aPath, mStrict);
    aOut.Fields(reader);
    reader.RejectUnknownFields();
  }

  const Json::Value& mObject;
  const FieldPath* mPath;  ///< nullptr: the body itself.
  bool mStrict;
  std::set<std::string> mKnown;
};

/// Writes a message as a JSON object.
template <class T>
Json::Value ToJson(const T& aMessage) {
  Json::Value object(Json::objectValue);
  JsonWriter writer(object);
  // Fields() is shared with the reader and therefore not const; the writer
  // doesn't modify the message.
  const_cast<T&>(aMessage).Fields(writer);
  return object;
}

/// Reads a message from a JSON object; for errors thrown see JsonReader.
template <class T>
T FromJson(const Json::Value& aObject, bool aStrict = false) {
  T message;
  JsonReader reader(aObject, nullptr, aStrict);
  message.Fields(reader);
  reader.RejectUnknownFields();
  return message;
}

}  // namespace spindleweir
