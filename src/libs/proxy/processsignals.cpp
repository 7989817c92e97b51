#include "processsignals.h"

#include <csignal>
#include <initializer_list>

namespace Proxy {

namespace {

void setSignalMask(int how)
{
    sigset_t signals;
    sigemptyset(&signals);
    for (const int signal : {SIGTERM, SIGINT, SIGHUP}) {
        sigaddset(&signals, signal);
    }
    pthread_sigmask(how, &signals, nullptr);
}

} // namespace

void deferSignals()
{
    setSignalMask(SIG_BLOCK);
}

void deliverSignals()
{
    setSignalMask(SIG_UNBLOCK);
}

} // namespace Proxy
