#pragma once

namespace Dispatch {

/// Limits retries to a fraction of the successful calls, so that retries cannot amplify an
/// overload.
class RetryBudget
{
public:
    RetryBudget(double ratio, double reserve)
        : ratio_(ratio)
        , reserve_(reserve)
        , balance_(reserve)
    {}

    void succeeded();
    /// Takes one retry; returns false if the budget is exhausted.
    bool withdraw();
    double balance() const { return balance_; }

private:
    double ratio_;
    double reserve_;
    double balance_;
};

} // namespace Dispatch
