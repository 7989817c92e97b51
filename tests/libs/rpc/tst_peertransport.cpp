#include <rpc/peertransport.h>

#include <criterion/criterion.h>

#include <condition_variable>
#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <mutex>

using namespace std::chrono_literals;

namespace {

/// A folder with certificates that is removed with the object.
class Certificates
{
public:
    explicit Certificates(const std::string &name)
        : folder_(std::filesystem::temp_directory_path() / (name + std::to_string(getpid())))
    {
        // A connection closed by the peer must not terminate the process; the daemon does the same.
        std::signal(SIGPIPE, SIG_IGN);
        const std::string command = std::string(MAKE_CERTIFICATES) + " " + folder_.string();
        cr_assert_eq(std::system(command.c_str()), 0); // NOLINT(concurrency-mt-unsafe)
    }
    ~Certificates() { std::filesystem::remove_all(folder_); }

    Rpc::TlsSettings tls(const std::string &name) const
    {
        return {(folder_ / (name + ".pem")).string(),
                (folder_ / (name + ".key")).string(),
                (folder_ / "authority.pem").string(),
                "marjoramfield-peer"};
    }

private:
    std::filesystem::path folder_;
};

/// Counts the messages that a transport received and those that it could not deliver.
class Inbox
{
public:
    Rpc::PeerTransport::Handlers handlers()
    {
        return {[this](const Base::IncarnationId &sender, const auto &messages) {
                    const std::lock_guard lock(mutex_);
                    sender_ = sender;
                    received_ += messages.size();
                    changed_.notify_all();
                },
                [this](const Base::IncarnationId &, const auto &messages) {
                    const std::lock_guard lock(mutex_);
                    failed_ += messages.size();
                    changed_.notify_all();
                }};
    }

    bool waitFor(size_t received, size_t failed)
    {
        std::unique_lock lock(mutex_);
        return changed_.wait_for(
            lock, 10s, [&] { return received_ >= received && failed_ >= failed; });
    }

    Base::IncarnationId sender() const { return sender_; }

private:
    std::mutex mutex_;
    std::condition_variable changed_;
    Base::IncarnationId sender_;
    size_t received_ = 0;
    size_t failed_ = 0;
};

Rpc::PeerTransportSettings settings(const char *self,
                                    const char *address,
                                    const Rpc::TlsSettings &tls)
{
    Rpc::PeerTransportSettings result;
    result.self = Base::IncarnationId(self);
    result.listen = {address, 17083};
    result.tls = tls;
    return result;
}

PeerProtocol::PeerMessage message()
{
    PeerProtocol::ForwardedCancel cancel;
    cancel.requestId = 7;
    PeerProtocol::PeerMessage result;
    result.__set_cancel(cancel);
    return result;
}

} // namespace

Test(peertransport, messagesArriveWithTheirSender)
{
    const Certificates certificates("peertransport-a");
    Inbox first;
    Inbox second;
    Rpc::PeerTransport a(settings("a-1", "127.0.7.1", certificates.tls("peer")), first.handlers());
    Rpc::PeerTransport b(settings("b-1", "127.0.7.2", certificates.tls("peer")), second.handlers());
    a.start();
    b.start();
    for (int i = 0; i < 100; ++i) {
        cr_assert(a.send(Base::IncarnationId("b-1"), {"127.0.7.2", 17083}, message()));
    }
    cr_assert(second.waitFor(100, 0));
    cr_assert_str_eq(second.sender().text().c_str(), "a-1");
}

Test(peertransport, certificateOfAnotherRoleIsRefused)
{
    const Certificates certificates("peertransport-b");
    Inbox first;
    Inbox second;
    Rpc::PeerTransport a(settings("a-1", "127.0.7.3", certificates.tls("operator")),
                         first.handlers());
    Rpc::PeerTransport b(settings("b-1", "127.0.7.4", certificates.tls("peer")), second.handlers());
    a.start();
    b.start();
    cr_assert(a.send(Base::IncarnationId("b-1"), {"127.0.7.4", 17083}, message()));
    cr_assert(first.waitFor(0, 1));
}

Test(peertransport, idleTransportStops, .timeout = 20)
{
    const Certificates certificates("peertransport-c");
    Inbox inbox;
    Rpc::PeerTransport a(settings("a-1", "127.0.7.5", certificates.tls("peer")), inbox.handlers());
    a.start();
    a.stop();
}

Test(peertransport, startThrowsIfAddressIsInUse)
{
    const Certificates certificates("peertransport-d");
    Inbox inbox;
    Rpc::PeerTransport a(settings("a-1", "127.0.7.6", certificates.tls("peer")), inbox.handlers());
    Rpc::PeerTransport b(settings("b-1", "127.0.7.6", certificates.tls("peer")), inbox.handlers());
    a.start();
    cr_assert_any_throw(b.start());
}
