#include "memorybudget.h"

#include <algorithm>
#include <utility>

namespace Base {

MemoryBudget::MemoryBudget(Bytes capacity)
    : capacity_(capacity)
{}

std::shared_ptr<MemoryBudget::Holder> MemoryBudget::holder(const std::string &name)
{
    std::weak_ptr<Holder> &known = holders_[name];
    std::shared_ptr<Holder> holder = known.lock();
    if (!holder) {
        holder = std::make_shared<Holder>(*this, name);
        known = holder;
    }
    return holder;
}

std::shared_ptr<MemoryBudget::Holder> MemoryBudget::newHolder()
{
    return std::make_shared<Holder>(*this, std::string());
}

bool MemoryBudget::mayGrow(const Holder &holder, Bytes more) const
{
    const Bytes free = capacity_ - std::min(used_, capacity_);
    return more <= free && holder.used_ + more <= free - more;
}

void MemoryBudget::change(Holder &holder, Bytes difference)
{
    holder.used_ += difference;
    used_ += difference;
    peak_ = std::max(peak_, used_);
}

MemoryBudget::Holder::Holder(MemoryBudget &budget, std::string name)
    : budget_(budget)
    , name_(std::move(name))
{}

MemoryBudget::Holder::~Holder()
{
    // Another holder of the name may have been created since this one expired.
    const auto entry = budget_.holders_.find(name_);
    if (entry != budget_.holders_.end() && entry->second.expired()) {
        budget_.holders_.erase(entry);
    }
}

MemoryLease::MemoryLease(std::shared_ptr<MemoryBudget::Holder> holder)
    : holder_(std::move(holder))
{}

MemoryLease::~MemoryLease()
{
    release();
}

MemoryLease::MemoryLease(MemoryLease &&other) noexcept
    : holder_(std::move(other.holder_))
    , size_(std::exchange(other.size_, Bytes()))
{}

MemoryLease &MemoryLease::operator=(MemoryLease &&other) noexcept
{
    if (this != &other) {
        release();
        holder_ = std::move(other.holder_);
        size_ = std::exchange(other.size_, Bytes());
    }
    return *this;
}

bool MemoryLease::mayGrow(std::size_t more) const
{
    return !holder_ || holder_->budget_.mayGrow(*holder_, Bytes(static_cast<std::int64_t>(more)));
}

bool MemoryLease::resize(std::size_t bytes)
{
    if (bytes > size() && !mayGrow(bytes - size())) {
        ++holder_->budget_.denials_;
        return false;
    }
    forceResize(bytes);
    return true;
}

void MemoryLease::forceResize(std::size_t bytes)
{
    const Bytes size(static_cast<std::int64_t>(bytes));
    if (holder_) {
        holder_->budget_.change(*holder_, size - size_);
    }
    size_ = size;
}

void MemoryLease::release()
{
    forceResize(0);
}

} // namespace Base
