#pragma once

namespace Dispatch {

/// Bounds retries to a share of the calls that succeed, so that retries can't multiply an overload.
class RetryBudget
{
public:
    RetryBudget(double ratio, double reserve)
        : ratio_(ratio)
        , reserve_(reserve)
        , balance_(reserve)
    {}

    void succeeded();
    /// Takes one retry; false if the budget is spent.
    bool withdraw();
    double balance() const { return balance_; }

private:
    double ratio_;
    double reserve_;
    double balance_;
};

} // namespace Dispatch
