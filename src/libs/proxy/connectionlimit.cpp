#include "connectionlimit.h"

#include <utility>

namespace Proxy {

namespace {

/// Connections that are asked at most for one new connection.
constexpr int maxAsked = 8;

} // namespace

ConnectionLimit::ConnectionLimit(std::size_t capacity)
    : capacity_(capacity)
{}

bool ConnectionLimit::makeRoom()
{
    if (size() < capacity_ || closeOne(unproven_) || closeOne(idle_)) {
        return true;
    }
    ++refused_;
    return false;
}

bool ConnectionLimit::closeOne(Connections &connections)
{
    for (int i = 0; i < maxAsked && !connections.empty(); ++i) {
        const auto entry = connections.begin();
        const Close close = *entry; // the entry ends with its connection
        if (close()) {
            ++closed_;
            return true;
        }
        connections.splice(connections.end(), connections, entry);
    }
    return false;
}

ConnectionLimit::Place ConnectionLimit::add(Close close)
{
    unproven_.push_back(std::move(close));
    return Place(shared_from_this(), std::prev(unproven_.end()));
}

ConnectionLimit::Place::Place(std::shared_ptr<ConnectionLimit> limit, Connections::iterator entry)
    : limit_(std::move(limit))
    , list_(&limit_->unproven_)
    , entry_(entry)
{}

ConnectionLimit::Place::~Place()
{
    release();
}

ConnectionLimit::Place::Place(Place &&other) noexcept
    : limit_(std::exchange(other.limit_, nullptr))
    , list_(other.list_)
    , entry_(other.entry_)
{}

ConnectionLimit::Place &ConnectionLimit::Place::operator=(Place &&other) noexcept
{
    if (this != &other) {
        release();
        limit_ = std::exchange(other.limit_, nullptr);
        list_ = other.list_;
        entry_ = other.entry_;
    }
    return *this;
}

void ConnectionLimit::Place::moveTo(Connections &list, Connections::iterator position)
{
    list.splice(position, *list_, entry_);
    list_ = &list;
}

void ConnectionLimit::Place::progressed()
{
    if (limit_) {
        moveTo(*list_, list_->end());
    }
}

void ConnectionLimit::Place::requestBegun()
{
    if (limit_) {
        moveTo(limit_->busy_, limit_->busy_.end());
    }
}

void ConnectionLimit::Place::requestEnded()
{
    if (limit_ && list_ == &limit_->busy_) {
        moveTo(limit_->idle_, limit_->idle_.end());
    }
}

void ConnectionLimit::Place::setEnding()
{
    if (limit_) {
        moveTo(limit_->unproven_, limit_->unproven_.begin());
    }
}

void ConnectionLimit::Place::release()
{
    if (limit_) {
        list_->erase(entry_);
        limit_.reset();
    }
}

} // namespace Proxy
