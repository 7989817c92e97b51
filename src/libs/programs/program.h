#pragma once

#include "programsnapshot.h"

namespace Programs {

/// The committed state of one program, computed from its records. Applying a record is idempotent,
/// also if a restored snapshot already contains it.
class Program
{
public:
    explicit Program(const Journal::ProgramCreated &created);
    explicit Program(const ProgramSnapshot &snapshot);

    void apply(const Journal::CallIntent &intent);
    void apply(const Journal::CallResult &result);
    void apply(const Journal::ChildReserved &child);
    void apply(const Journal::ChildSettled &child);
    void apply(const Journal::ProgramEnded &ended);

    const Journal::ProgramCreated &created() const { return created_; }
    const Base::ProgramId &id() const { return created_.program; }

    /// Number of the first call that has not ended.
    Base::CallNumber nextNumber() const;
    /// Null if the call has not ended.
    std::shared_ptr<const Turn> turn(Base::CallNumber number) const;
    /// Turns so far. The returned history does not change when turns are added.
    std::shared_ptr<const History> history();

    /// Charged tokens, including those of ended children.
    Base::Tokens charged() const { return charged_; }
    Base::Tokens reservedByChildren() const;
    /// Budget that is neither charged nor reserved by children; never negative.
    Base::Tokens budgetLeft() const;
    /// Upper bound for the tokens of a prompt built from the history and the input.
    Base::Tokens promptBound(size_t inputBytes) const;

    const std::optional<Journal::CallIntent> &openIntent() const { return openIntent_; }
    const std::vector<Journal::ChildReserved> &children() const { return children_; }
    std::uint32_t childCount() const { return childCount_; }
    std::optional<Journal::EndReason> endReason() const { return endReason_; }

    Base::ProgramId childId(std::uint32_t number) const;
    ProgramSnapshot snapshot() const;
    Base::Bytes memory() const;
    /// Memory of the turns only.
    Base::Bytes historyBytes() const { return turnBytes_; }

private:
    bool isAlreadyApplied(const Journal::CallResult &result) const;
    void addTurn(std::shared_ptr<const Turn> turn);
    void rebuildTotals();
    void addToTotals(const Turn &turn);

    Journal::ProgramCreated created_;
    std::shared_ptr<History> history_;
    /// The history is shared with callers of history(), so the next change copies it.
    bool isHistoryShared_ = false;
    Base::Tokens charged_;
    Base::Tokens contextBound_;
    Base::Bytes turnBytes_;
    std::optional<Journal::CallIntent> openIntent_;
    std::vector<Journal::ChildReserved> children_;
    std::uint32_t childCount_ = 0;
    std::optional<Journal::EndReason> endReason_;
};

} // namespace Programs
