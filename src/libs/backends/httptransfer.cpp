#include "httptransfer.h"

#include <base/httpsyntax.h>

#include <algorithm>

namespace Backends {

namespace {

constexpr long receiveBufferBytes = 64 * 1024;

/// Limit on the heads of an exchange; a server may never end them.
constexpr std::size_t maxHeadBytes = 64 * 1024;

/// Servers close idle connections after some seconds. A request that is sent while the server
/// closes the connection may or may not run, so requests that must not be repeated use only
/// connections that were idle for a shorter time.
constexpr long maxIdleSecondsIfNotRepeatable = 1;

/// Rejects line breaks, with which a caller could inject headers.
bool isSafe(const HttpHeader &header)
{
    const char *breaks = "\r\n";
    return !header.name.empty() && header.name.find_first_of("\r\n:") == std::string::npos
           && header.value.find_first_of(breaks) == std::string::npos;
}

bool isFinalStatus(int status)
{
    return status >= 200;
}

std::string_view withoutLineEnd(std::string_view line)
{
    line.remove_suffix(line.ends_with('\n') ? 1 : 0);
    line.remove_suffix(line.ends_with('\r') ? 1 : 0);
    return line;
}

/// Whether the fields announce a body.
bool hasBody(const std::vector<HttpHeader> &headers)
{
    return std::any_of(headers.begin(), headers.end(), [](const HttpHeader &header) {
        return Base::equalsIgnoringCase(header.name, "transfer-encoding")
               || (Base::equalsIgnoringCase(header.name, "content-length") && header.value != "0");
    });
}

} // namespace

HttpTransfer::HttpTransfer(HttpRequestId id, HttpRequest request, HttpHandlers handlers)
    : id_(id)
    , request_(std::move(request))
    , handlers_(std::move(handlers))
    , easy_(curl_easy_init())
{
    setUp();
}

HttpTransfer::~HttpTransfer()
{
    curl_easy_cleanup(easy_);
    curl_slist_free_all(headerList_);
}

void HttpTransfer::setUp()
{
    curl_easy_setopt(easy_, CURLOPT_URL, request_.url.c_str());
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(easy_, CURLOPT_BUFFERSIZE, receiveBufferBytes);
    curl_easy_setopt(easy_, CURLOPT_PRIVATE, this);
    curl_easy_setopt(easy_, CURLOPT_ERRORBUFFER, errorText_);
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, request_.connectTimeout.count());
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS, request_.totalTimeout.count());
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, &HttpTransfer::onHeaderLine);
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, &HttpTransfer::onData);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, this);
    curl_easy_setopt(easy_, CURLOPT_PREREQFUNCTION, &HttpTransfer::onBeforeSending);
    curl_easy_setopt(easy_, CURLOPT_PREREQDATA, this);
    if (!request_.mayRepeat) {
        curl_easy_setopt(easy_, CURLOPT_MAXAGE_CONN, maxIdleSecondsIfNotRepeatable);
    }
    setUpMethod();
    setUpHeaders();
}

void HttpTransfer::setUpMethod()
{
    if (request_.method == "HEAD") {
        curl_easy_setopt(easy_, CURLOPT_NOBODY, 1L);
        return;
    }
    if (request_.method == "GET" && request_.body.empty()) {
        return;
    }
    if (!request_.body.empty() || request_.method == "POST" || request_.method == "PUT"
        || request_.method == "PATCH") {
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request_.body.data());
        curl_easy_setopt(
            easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request_.body.size()));
    }
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, request_.method.c_str());
}

void HttpTransfer::setUpHeaders()
{
    for (const HttpHeader &header : request_.headers) {
        if (!isSafe(header)) {
            continue;
        }
        // libcurl sends a header without a value only in the form "Name;".
        const std::string line
            = header.value.empty() ? header.name + ";" : header.name + ": " + header.value;
        headerList_ = curl_slist_append(headerList_, line.c_str());
    }
    // Waiting for "100 Continue" adds a round trip to large bodies, or one second if it never
    // arrives.
    headerList_ = curl_slist_append(headerList_, "Expect:");
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, headerList_);
}

void HttpTransfer::pause()
{
    isPaused_ = true;
}

void HttpTransfer::resume()
{
    isPaused_ = false;
    lastActivity_ = Clock::now();
    if (isInPausedWrite_) {
        isInPausedWrite_ = false;
        curl_easy_pause(easy_, CURLPAUSE_CONT);
    }
}

bool HttpTransfer::isIdle(Clock::time_point now) const
{
    return request_.idleTimeout.count() > 0 && !isPaused_
           && now - lastActivity_ > request_.idleTimeout;
}

void HttpTransfer::finish(CURLcode code, HttpEnd brokenAs)
{
    if (handlers_.onDone) {
        handlers_.onDone(outcome(code, brokenAs));
    }
}

HttpOutcome HttpTransfer::outcome(CURLcode code, HttpEnd brokenAs) const
{
    HttpOutcome outcome;
    outcome.status = head_.status;
    outcome.ran = sendCount_ == 0 ? Base::Ran::NotRun : Base::Ran::MayHaveRun;
    // A server may respond before it has read the request, and close the connection.
    const bool isWhole = code == CURLE_OK || (code == CURLE_SEND_ERROR && isBodyWhole());
    if (isWhole && isHeadDelivered_) {
        outcome.end = HttpEnd::Complete;
        outcome.ran = Base::Ran::Ran;
        return outcome;
    }
    outcome.message = errorText_[0] != 0 ? errorText_ : curl_easy_strerror(code);
    outcome.end = brokenAs;
    if (code == CURLE_OK) {
        outcome.message = "connection closed within the head of the response";
    } else if (!problem_.empty()) {
        outcome.end = HttpEnd::Broken;
        outcome.message = problem_;
    } else if (brokenAs == HttpEnd::Cancelled || isStopped_) {
        outcome.end = HttpEnd::Cancelled;
        outcome.message = "cancelled";
    } else if (brokenAs == HttpEnd::TimedOut) {
        outcome.message = "no data within the idle timeout";
    } else if (sendCount_ == 0) {
        outcome.end = HttpEnd::NotSent;
    } else if (code == CURLE_ABORTED_BY_CALLBACK) {
        outcome.message = "the reused connection closed without a response";
    } else if (code == CURLE_OPERATION_TIMEDOUT) {
        outcome.end = HttpEnd::TimedOut;
    }
    return outcome;
}

/// Whether the body is as long as the head states; false if that states no length.
bool HttpTransfer::isBodyWhole() const
{
    const auto length
        = std::find_if(head_.headers.begin(), head_.headers.end(), [](const auto &header) {
              return Base::equalsIgnoringCase(header.name, "content-length");
          });
    return length != head_.headers.end() && length->value == std::to_string(bodyBytes_);
}

/// Adds to what was received, and tells whether that is too much. A limit of 0 means none.
bool HttpTransfer::exceeds(std::size_t &received,
                           std::size_t more,
                           std::size_t limit,
                           const char *part)
{
    received += more;
    if (limit == 0 || received <= limit) {
        return false;
    }
    problem_ = std::string(part) + " of the response exceeds " + std::to_string(limit) + " bytes";
    return true;
}

std::size_t HttpTransfer::handleHeaderLine(std::string_view line)
{
    lastActivity_ = Clock::now();
    if (exceeds(headBytes_, line.size(), maxHeadBytes, "head")) {
        return 0;
    }
    problem_ = handleLine(withoutLineEnd(line));
    return problem_.empty() ? line.size() : 0;
}

/// Returns the problem, or an empty text.
std::string_view HttpTransfer::handleLine(std::string_view line)
{
    if (isHeadDelivered_) {
        return line.empty() ? "" : Base::fieldLineProblem(line); // of a trailer, which is dropped
    }
    if (!isInHead_) {
        const auto status = Base::parseStatusLine(line);
        isInHead_ = true;
        head_ = {status.value_or(0), {}};
        return !status || Base::hasControlCharacters(line) ? "invalid status line" : "";
    }
    if (line.empty()) {
        return handleHeadEnd();
    }
    if (const auto problem = Base::fieldLineProblem(line); !problem.empty()) {
        return problem;
    }
    const std::size_t colon = line.find(':');
    head_.headers.push_back(
        {std::string(line.substr(0, colon)), std::string(Base::trimmed(line.substr(colon + 1)))});
    return {};
}

/// Interim responses (1xx) are ignored. Returns the problem, or an empty text.
std::string_view HttpTransfer::handleHeadEnd()
{
    constexpr int switchingProtocols = 101;
    isInHead_ = false;
    if (isFinalStatus(head_.status)) {
        isHeadDelivered_ = true;
        if (handlers_.onHeaders) {
            handlers_.onHeaders(head_);
        }
        return {};
    }
    if (head_.status == switchingProtocols) {
        return "unexpected switch of protocols (status 101)";
    }
    return hasBody(head_.headers) ? "interim response with a body" : "";
}

std::size_t HttpTransfer::handleData(std::string_view data)
{
    lastActivity_ = Clock::now();
    if (isPaused_) {
        isInPausedWrite_ = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    if (exceeds(bodyBytes_, data.size(), request_.maxResponseBytes, "body")) {
        return CURL_WRITEFUNC_ERROR;
    }
    const FlowControl flow = handlers_.onData ? handlers_.onData(data) : FlowControl::Continue;
    isPaused_ = flow == FlowControl::Pause;
    isStopped_ = flow == FlowControl::Stop;
    return isStopped_ ? CURL_WRITEFUNC_ERROR : data.size();
}

int HttpTransfer::beforeSending()
{
    // libcurl sends a request again, even a POST, if a reused connection closes without a response.
    // The server may have executed the first one.
    if (sendCount_ > 0 && !request_.mayRepeat) {
        return CURL_PREREQFUNC_ABORT;
    }
    ++sendCount_;
    return CURL_PREREQFUNC_OK;
}

std::size_t HttpTransfer::onHeaderLine(char *data, std::size_t size, std::size_t count, void *self)
{
    return static_cast<HttpTransfer *>(self)->handleHeaderLine({data, size * count});
}

std::size_t HttpTransfer::onData(char *data, std::size_t size, std::size_t count, void *self)
{
    return static_cast<HttpTransfer *>(self)->handleData({data, size * count});
}

int HttpTransfer::onBeforeSending(void *self, char *, char *, int, int)
{
    return static_cast<HttpTransfer *>(self)->beforeSending();
}

} // namespace Backends
