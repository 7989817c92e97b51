#include "curlpool.h"

namespace Load {

namespace {

constexpr std::size_t tailBytes = 512;
constexpr std::string_view numberMark = "{n}";

std::string numbered(std::string text, std::uint64_t number)
{
    const std::size_t position = text.find(numberMark);
    if (position != std::string::npos) {
        text.replace(position, numberMark.size(), std::to_string(number));
    }
    return text;
}

} // namespace

CurlPool::CurlPool(const HttpTarget &target, int connections, std::chrono::milliseconds timeout)
    : target_(target)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    multi_ = curl_multi_init();
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, static_cast<long>(connections));
    headers_ = curl_slist_append(headers_, "Expect:");
    for (const std::string &header : target_.headers) {
        headers_ = curl_slist_append(headers_, header.c_str());
    }
    for (int i = 0; i < connections; ++i) {
        auto slot = std::make_unique<Slot>();
        slot->pool = this;
        setUp(slot->exchange, timeout);
        curl_easy_setopt(slot->exchange.easy, CURLOPT_WRITEDATA, slot.get());
        free_.push_back(&slot->exchange);
        exchanges_.push_back(std::move(slot));
    }
}

CurlPool::~CurlPool()
{
    for (const auto &slot : exchanges_) {
        curl_multi_remove_handle(multi_, slot->exchange.easy);
        curl_easy_cleanup(slot->exchange.easy);
    }
    curl_multi_cleanup(multi_);
    curl_slist_free_all(headers_);
}

void CurlPool::setUp(Exchange &exchange, std::chrono::milliseconds timeout)
{
    exchange.easy = curl_easy_init();
    CURL *easy = exchange.easy;
    curl_easy_setopt(easy, CURLOPT_PRIVATE, &exchange);
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, static_cast<long>(timeout.count()));
    curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers_);
    curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, &CurlPool::writeData);
    if (!target_.body.empty()) {
        curl_easy_setopt(easy, CURLOPT_POST, 1L);
    }
    if (target_.method != "GET") {
        curl_easy_setopt(easy, CURLOPT_CUSTOMREQUEST, target_.method.c_str());
    }
}

void CurlPool::start(Clock::time_point dueAt)
{
    Exchange &exchange = *free_.front();
    free_.pop_front();
    const std::uint64_t number = nextNumber_++;
    exchange.url = numbered(target_.url, number);
    exchange.body = numbered(target_.body, number);
    exchange.dueAt = dueAt;
    exchange.hasData = false;
    exchange.tail.clear();
    curl_easy_setopt(exchange.easy, CURLOPT_URL, exchange.url.c_str());
    if (!exchange.body.empty()) {
        curl_easy_setopt(exchange.easy, CURLOPT_POSTFIELDS, exchange.body.data());
        curl_easy_setopt(
            exchange.easy, CURLOPT_POSTFIELDSIZE, static_cast<long>(exchange.body.size()));
    }
    curl_multi_add_handle(multi_, exchange.easy);
}

void CurlPool::step(std::chrono::milliseconds wait)
{
    int running = 0;
    curl_multi_perform(multi_, &running);
    int left = 0;
    bool hasEnded = false;
    while (const CURLMsg *message = curl_multi_info_read(multi_, &left)) {
        const CURLcode code = message->data.result;
        CURL *easy = message->easy_handle;
        Exchange *exchange = nullptr;
        long status = 0;
        curl_easy_getinfo(easy, CURLINFO_PRIVATE, &exchange);
        curl_easy_getinfo(easy, CURLINFO_RESPONSE_CODE, &status);
        curl_multi_remove_handle(multi_, easy);
        free_.push_back(exchange);
        onEnd(*exchange, {code == CURLE_OK, static_cast<int>(status)});
        hasEnded = true;
    }
    if (!hasEnded) {
        curl_multi_poll(multi_, nullptr, 0, static_cast<int>(wait.count()), nullptr);
    }
}

void CurlPool::take(Exchange &exchange, std::string_view data)
{
    long status = 0;
    curl_easy_getinfo(exchange.easy, CURLINFO_RESPONSE_CODE, &status);
    if (status >= firstErrorStatus) {
        return;
    }
    const auto now = Clock::now();
    if (!exchange.hasData) {
        exchange.firstDataAt = now;
        exchange.lastDataAt = now;
    }
    if (onData) {
        onData(exchange);
    }
    exchange.hasData = true;
    exchange.lastDataAt = now;
    exchange.tail.append(data.substr(data.size() > tailBytes ? data.size() - tailBytes : 0));
    if (exchange.tail.size() > tailBytes) {
        exchange.tail.erase(0, exchange.tail.size() - tailBytes);
    }
}

std::size_t CurlPool::writeData(char *data, std::size_t size, std::size_t count, void *context)
{
    auto *slot = static_cast<Slot *>(context);
    slot->pool->take(slot->exchange, {data, size * count});
    return size * count;
}

} // namespace Load
