#pragma once

#include "types.h"

#include <limits>
#include <map>
#include <memory>
#include <string>

namespace Base {

/// Bytes that a daemon keeps for others, divided among holders such as servers or callers. A holder
/// may grow while it keeps no more than what is free: one alone gets half of the budget, and n of
/// them that grow without end leave one part in n + 1 free for the rest. Must outlive its holders
/// and leases. Not thread-safe.
class MemoryBudget
{
public:
    class Holder;

    static constexpr Bytes unlimited{std::numeric_limits<std::int64_t>::max()};

    explicit MemoryBudget(Bytes capacity = unlimited);

    MemoryBudget(const MemoryBudget &) = delete;
    MemoryBudget &operator=(const MemoryBudget &) = delete;

    /// Returns the holder of that name; leases with equal names share what the holder may keep.
    std::shared_ptr<Holder> holder(const std::string &name);
    /// Returns a holder that nothing else shares.
    std::shared_ptr<Holder> newHolder();

    Bytes capacity() const { return capacity_; }
    Bytes used() const { return used_; }
    /// The most that was used at a time.
    Bytes peak() const { return peak_; }
    /// Leases that were not enlarged because their holder kept too much.
    std::uint64_t denials() const { return denials_; }

private:
    friend class MemoryLease;

    bool mayGrow(const Holder &holder, Bytes more) const;
    void change(Holder &holder, Bytes difference);

    Bytes capacity_;
    Bytes used_;
    Bytes peak_;
    std::uint64_t denials_ = 0;
    std::map<std::string, std::weak_ptr<Holder>> holders_;
};

/// A party whose bytes are limited together.
class MemoryBudget::Holder
{
public:
    Holder(MemoryBudget &budget, std::string name);
    ~Holder();

    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;

    Bytes used() const { return used_; }

private:
    friend class MemoryBudget;
    friend class MemoryLease;

    MemoryBudget &budget_;
    /// Empty for a holder that nothing else shares.
    std::string name_;
    Bytes used_;
};

/// Bytes that are kept for one purpose; returned to the budget with the lease.
class MemoryLease
{
public:
    /// A lease without a holder is never denied.
    MemoryLease() = default;
    explicit MemoryLease(std::shared_ptr<MemoryBudget::Holder> holder);
    ~MemoryLease();

    MemoryLease(MemoryLease &&other) noexcept;
    MemoryLease &operator=(MemoryLease &&other) noexcept;

    /// Changes the size to what is kept now. Returns false, and keeps the size, if it had to grow
    /// and the holder may keep no more.
    [[nodiscard]] bool resize(std::size_t bytes);
    /// Whether resize() to that many more bytes would succeed now.
    bool mayGrow(std::size_t more) const;
    /// Changes the size without asking, for bytes that cannot be given up any more.
    void forceResize(std::size_t bytes);
    void release();

    std::size_t size() const { return static_cast<std::size_t>(size_.value()); }

private:
    std::shared_ptr<MemoryBudget::Holder> holder_;
    Bytes size_;
};

} // namespace Base
