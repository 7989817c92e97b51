#pragma once

#include <string>
#include <vector>

// Lines that servers send, for tests of all that reads responses.

/// What follows the version in status lines that have no valid status.
inline const std::vector<std::string> invalidStatuses{
    "000",     "000 ",    "000 OK",  "001 OK", "009 OK", "099 OK", "0 OK",    "2 OK",
    "20 OK",   "0200 OK", "2000 OK", "600 OK", "777 OK", "999 OK", "1000 OK", "-20 OK",
    "+200 OK", "2e2 OK",  "20x OK",  "OK",     "",       "200OK",  "20 0 OK", "200\tOK"};

inline const std::vector<std::string> validStatuses{"200 OK",
                                                    "200 ",
                                                    "200",
                                                    "200 \xe9t\xe9",
                                                    "201 Created",
                                                    "299 Odd",
                                                    "302 Found",
                                                    "400 Bad Request",
                                                    "418 Teapot",
                                                    "451 Law",
                                                    "499 Odd",
                                                    "500 No",
                                                    "599 Odd"};

inline const std::vector<std::string> invalidStatusLines{
    "HTTQ/1.1 200 OK", "HTTP 200 OK", "HTTP/11 200 OK", "200 OK"};

/// Lines of a head, or of trailers, that are no field.
inline const std::vector<std::string> malformedFieldLines{"X Y: v",
                                                          "X\tY: v",
                                                          "X\x01Y: v",
                                                          std::string("X\0Y: v", 6),
                                                          "X\x0bY: v",
                                                          "X\x7fY: v",
                                                          "X\x80Y: v",
                                                          "X\"Y: v",
                                                          "X(Y): v",
                                                          "X/Y: v",
                                                          "X : v",
                                                          " X: v",
                                                          "X: v\r\n folded",
                                                          "no colon",
                                                          ": v",
                                                          "X: v\x01",
                                                          std::string("X: \0v", 5),
                                                          "X: v\x7f",
                                                          "X: v\rY: w",
                                                          "HTTP/1.1 500 No",
                                                          "HTTP/1.1 500 No: v"};

inline const std::vector<std::string> soundFieldLines{"X-Y: v",
                                                      "!#$%&'*+-.^_`|~09azAZ: v",
                                                      "X:",
                                                      "X:v",
                                                      "X: \t v \t",
                                                      "X: a\tb",
                                                      "X: \xe9\xff",
                                                      "X: \"(a)\", b:c"};
