#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <ostream>
#include <string>
#include <utility>

namespace Base {

/// A text identifier that cannot be converted to identifiers of another kind.
template<typename Tag>
class StrongText
{
public:
    StrongText() = default;
    explicit StrongText(std::string text)
        : text_(std::move(text))
    {}

    const std::string &text() const { return text_; }
    bool isEmpty() const { return text_.empty(); }

    auto operator<=>(const StrongText &) const = default;

private:
    std::string text_;
};

/// A number (identifier or amount) that cannot be converted to numbers of another kind.
template<typename Tag, typename Rep>
class StrongNumber
{
public:
    using Value = Rep;

    constexpr StrongNumber() = default;
    constexpr explicit StrongNumber(Rep value)
        : value_(value)
    {}

    constexpr Rep value() const { return value_; }
    constexpr StrongNumber next() const { return StrongNumber(value_ + 1); }

    constexpr auto operator<=>(const StrongNumber &) const = default;

    constexpr StrongNumber &operator+=(StrongNumber other)
    {
        value_ += other.value_;
        return *this;
    }
    constexpr StrongNumber &operator-=(StrongNumber other)
    {
        value_ -= other.value_;
        return *this;
    }
    friend constexpr StrongNumber operator+(StrongNumber a, StrongNumber b) { return a += b; }
    friend constexpr StrongNumber operator-(StrongNumber a, StrongNumber b) { return a -= b; }

private:
    Rep value_{};
};

template<typename Tag>
std::ostream &operator<<(std::ostream &out, const StrongText<Tag> &id)
{
    return out << id.text();
}

template<typename Tag, typename Rep>
std::ostream &operator<<(std::ostream &out, StrongNumber<Tag, Rep> number)
{
    return out << +number.value();
}

} // namespace Base

template<typename Tag>
struct std::hash<Base::StrongText<Tag>>
{
    size_t operator()(const Base::StrongText<Tag> &id) const noexcept
    {
        return std::hash<std::string>()(id.text());
    }
};

template<typename Tag, typename Rep>
struct std::hash<Base::StrongNumber<Tag, Rep>>
{
    size_t operator()(Base::StrongNumber<Tag, Rep> number) const noexcept
    {
        return std::hash<Rep>()(number.value());
    }
};
