#pragma once

#include "httpclient.h"

#include <curl/curl.h>

#include <optional>

namespace Backends {

/// One exchange on a libcurl easy handle. Used in the loop's thread only.
class HttpTransfer
{
public:
    using Clock = std::chrono::steady_clock;

    HttpTransfer(HttpRequestId id, HttpRequest request, HttpHandlers handlers);
    ~HttpTransfer();

    HttpTransfer(const HttpTransfer &) = delete;
    HttpTransfer &operator=(const HttpTransfer &) = delete;

    CURL *easy() const { return easy_; }
    HttpRequestId id() const { return id_; }

    void pause();
    void resume();
    bool isIdle(Clock::time_point now) const;

    /// Calls onDone.
    void finish(CURLcode code, HttpEnd brokenAs);

private:
    void setUp();
    void setUpMethod();
    void setUpHeaders();
    HttpOutcome outcome(CURLcode code, HttpEnd brokenAs) const;

    bool isBodyWhole() const;
    bool exceeds(std::size_t &received, std::size_t more, std::size_t limit, const char *part);
    std::size_t handleHeaderLine(std::string_view line);
    std::string_view handleLine(std::string_view line);
    std::string_view handleHeadEnd();
    std::size_t handleData(std::string_view data);
    int beforeSending();

    static std::size_t onHeaderLine(char *data, std::size_t size, std::size_t count, void *self);
    static std::size_t onData(char *data, std::size_t size, std::size_t count, void *self);
    static int onBeforeSending(void *self, char *, char *, int, int);

    HttpRequestId id_;
    HttpRequest request_;
    HttpHandlers handlers_;
    CURL *easy_;
    curl_slist *headerList_ = nullptr;
    HttpReplyHead head_;
    bool isInHead_ = false;
    bool isHeadDelivered_ = false;
    bool isPaused_ = false;
    bool isStopped_ = false;
    bool isInPausedWrite_ = false;
    int sendCount_ = 0;
    /// Bytes of all heads, also of interim responses and trailers.
    std::size_t headBytes_ = 0;
    std::size_t bodyBytes_ = 0;
    /// Why the response is rejected.
    std::string problem_;
    Clock::time_point lastActivity_ = Clock::now();
    char errorText_[CURL_ERROR_SIZE] = {};
};

} // namespace Backends
