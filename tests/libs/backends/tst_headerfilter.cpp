#include <backends/headerfilter.h>

#include <criterion/criterion.h>

using Backends::HeaderFilter;
using Backends::HttpHeader;

Test(headerfilter, dropsHeadersThatContainKeys)
{
    const std::vector<HttpHeader> secret{{"Authorization", "Bearer k-123"},
                                         {"cookie", "session=1"},
                                         {"X-API-Key", "other"},
                                         {"Proxy-Authorization", "Basic x"},
                                         {"Connection", "keep-alive, X-Private"},
                                         {"X-Private", "hop"},
                                         {"Transfer-Encoding", "chunked"},
                                         {"X-Custom", "see k-123"},
                                         {"X-Encoded", "k%2D123"},
                                         {"X-Token", "t"}};
    cr_assert(HeaderFilter("k-123").filterHeaders(secret).empty());
}

Test(headerfilter, keepsOtherHeaders)
{
    const std::vector<HttpHeader> plain{
        {"Accept", "text/html"}, {"Idempotency-Key", "order-7"}, {"X-Request-Id", "r"}};
    cr_assert(HeaderFilter("k-123").filterHeaders(plain) == plain);
}

Test(headerfilter, filtersTheQuery)
{
    const HeaderFilter filter("k-123");
    cr_assert_eq(filter.filterTarget("/a?x=1&api_key=z&y=2"), "/a?x=1&y=2");
    cr_assert_eq(filter.filterTarget("/a?access%5Ftoken=z"), "/a");
    cr_assert_eq(filter.filterTarget("/a?q=k-123&note=k%2D123&z"), "/a?z");
    cr_assert_eq(filter.filterTarget("/a?k-123"), "/a");
    cr_assert_eq(filter.filterTarget("/monkey?turkey=1"), "/monkey?turkey=1");
    cr_assert(filter.containsKey("/path/k%2D123/more"));
}
