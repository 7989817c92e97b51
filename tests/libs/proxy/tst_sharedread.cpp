#include <proxy/sharedread.h>

#include <criterion/criterion.h>

using namespace Proxy;

namespace {

/// Reads that end when the test says so.
struct Reads
{
    explicit Reads(Base::Duration interval = {})
        : shared(context, interval, [this](SharedRead::Done done) {
            pending = std::move(done);
            ++begun;
        })
    {}

    void request()
    {
        shared.request([this](bool isRead) { (isRead ? served : failed) += 1; });
    }

    void end(bool isRead)
    {
        std::exchange(pending, nullptr)(isRead);
        context.restart();
        context.run_for(std::chrono::milliseconds(2));
    }

    asio::io_context context;
    SharedRead::Done pending;
    int begun = 0;
    int served = 0;
    int failed = 0;
    SharedRead shared;
};

} // namespace

/// Guards against the result of a read that began before the request.
Test(sharedread, aRequestDuringAReadWaitsForTheNextOne)
{
    Reads reads;
    reads.request();
    reads.request();
    reads.request();
    cr_assert_eq(reads.begun, 1);
    reads.end(true);
    cr_assert_eq(reads.served, 1);
    cr_assert_eq(reads.begun, 2, "both others share one read");
    reads.end(true);
    cr_assert_eq(reads.served, 3);
    cr_assert_eq(reads.begun, 2);
}

/// Guards against requests that are held while the store does not respond.
Test(sharedread, aFailureEndsAllRequestsThatWait)
{
    Reads reads;
    reads.request();
    reads.request();
    reads.end(false);
    cr_assert_eq(reads.failed, 2);
    cr_assert_eq(reads.begun, 1);
    reads.request();
    reads.end(true);
    cr_assert_eq(reads.served, 1);
}

/// Guards against a call of the store for each request.
Test(sharedread, readsAreSpaced)
{
    Reads reads(std::chrono::milliseconds(50));
    reads.request();
    reads.end(true);
    const auto begin = std::chrono::steady_clock::now();
    reads.request();
    reads.request();
    cr_assert_eq(reads.begun, 1);
    reads.context.restart();
    reads.context.run_one_for(std::chrono::seconds(5));
    cr_assert_eq(reads.begun, 2);
    cr_assert(std::chrono::steady_clock::now() - begin < std::chrono::seconds(4));
    reads.end(true);
    cr_assert_eq(reads.served, 3);
}
