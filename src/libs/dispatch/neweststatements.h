#pragma once

#include <base/instant.h>

#include <map>
#include <type_traits>
#include <utility>
#include <vector>

namespace Dispatch {

/// The newest statement about each subject, from whichever daemon it comes. A \a Statement has a
/// subject(), a time validAt, and hasSameValue() to compare it with an earlier one.
template<typename Statement>
class NewestStatements
{
public:
    using Subject = std::decay_t<decltype(std::declval<const Statement &>().subject())>;

    /// Returns whether the value for the subject has changed. A subject without a statement has
    /// changed.
    bool apply(const Statement &statement, Base::Instant now)
    {
        const auto [entry, isNew] = entries_.emplace(statement.subject(), Entry{statement, now});
        if (isNew) {
            return true;
        }
        if (statement.validAt <= entry->second.statement.validAt) {
            return false;
        }
        const bool isChanged = !statement.hasSameValue(entry->second.statement);
        entry->second.statement = statement;
        if (isChanged) {
            entry->second.changedAt = now;
        }
        return isChanged;
    }

    /// Null if there is no statement about the subject.
    const Statement *find(const Subject &subject) const
    {
        const auto entry = entries_.find(subject);
        return entry == entries_.end() ? nullptr : &entry->second.statement;
    }

    std::vector<Statement> changedSince(Base::Instant time) const
    {
        std::vector<Statement> changed;
        for (const auto &[subject, entry] : entries_) {
            if (entry.changedAt >= time) {
                changed.push_back(entry.statement);
            }
        }
        return changed;
    }

    std::vector<Statement> all() const { return changedSince(Base::Instant::min()); }

    template<typename Predicate>
    void eraseIf(Predicate predicate)
    {
        std::erase_if(entries_,
                      [&](const auto &entry) { return predicate(entry.second.statement); });
    }

    std::size_t size() const { return entries_.size(); }

private:
    struct Entry
    {
        Statement statement;
        Base::Instant changedAt;
    };

    std::map<Subject, Entry> entries_;
};

} // namespace Dispatch
