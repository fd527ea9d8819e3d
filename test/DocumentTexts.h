#pragma once
/// \file
/// Texts of configuration documents for tests: a valid one, and pieces that make it invalid or that
/// are unusual but valid.

#include <string>
#include <utility>
#include <vector>

namespace kumquat::test {

/// A valid document. The pieces below replace parts of it.
inline const std::string validDocument = R"({"Version":"0000001c",
 "Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15s"},
 "Listeners":[{"Hostname":"a.example","Rules":[
   {"Name":"r1","RouteType":"safe","TargetLatency":"400ms","Priority":2,"Match":{"PathPrefix":"/p/"},
    "Action":{"TrafficSplit":[{"Service":"s1","Weight":90},{"Service":"s2","Weight":10}],
              "Timeout":"1.2s","Attempts":2}},
   {"Name":"r2","RouteType":"upload","TargetLatency":"500ms","Priority":1,"Match":{"PathPrefix":"/q/"},
    "Action":{"Service":"s2","Timeout":"1500ms","Attempts":1}}]},
  {"Hostname":"b.example","Rules":[
   {"Name":"r3","RouteType":"unsafe","TargetLatency":"500ms","Priority":1,"Match":{"PathPrefix":"/p/"},
    "Action":{"Service":"s1","Timeout":"1500ms","Attempts":1}}]}],
 "Clusters":[{"Name":"s1","HealthPath":"/health","MaxConnections":260,"Protocol":"h1","Tls":false},
             {"Name":"s2","HealthPath":"/h","MaxConnections":200,"Protocol":"h1","Tls":false}]})";

/// The valid document with the first \p from replaced by \p to.
inline std::string documentWith(const std::string &from, const std::string &to)
{
    std::string text = validDocument;
    return text.replace(text.find(from), from.size(), to);
}

struct DocumentCase
{
    std::string name;
    std::string text;
};

inline std::string nestedLists(std::size_t depth)
{
    return std::string(depth, '[') + "1" + std::string(depth, ']');
}

/// The valid document with one more member, which the product doesn't read.
inline DocumentCase withMember(const std::string &name, const std::string &value)
{
    return { name, documentWith("\"Limits\"", "\"note\":" + value + ",\"Limits\"") };
}

/// Documents that are no strict JSON, so that they cannot be read in full.
inline std::vector<DocumentCase> unreadableDocuments()
{
    using namespace std::string_literals;
    std::vector<DocumentCase> cases {
        { "empty text", "" },
        { "white space only", " \n" },
        { "a byte order mark", "\xef\xbb\xbf" + validDocument },
        { "a comment", documentWith("\"Limits\"", "/* c */ \"Limits\"") },
        { "a comment to the end of the line", documentWith("\n", "// c\n") },
        { "a comment behind the value", validDocument + " // end" },
        { "a second value", validDocument + validDocument },
        { "a bracket behind the value", validDocument + "}" },
        { "a NUL behind the value", validDocument + "\0"s },
        { "a NUL in a name", documentWith("r1", "r\0001"s) },
        { "a trailing comma in an object", documentWith("\"Tls\":false}", "\"Tls\":false,}") },
        { "a trailing comma in a list", documentWith("\"Weight\":10}]", "\"Weight\":10},]") },
        { "a key twice", documentWith("\"Limits\"", "\"Version\":\"0000001c\",\"Limits\"") },
        { "a key twice, once escaped",
          documentWith("\"Limits\"", "\"\\u0056ersion\":1,\"Limits\"") },
        { "a key twice in a rule",
          documentWith("\"Priority\":2", "\"Priority\":2,\"Priority\":2") },
        { "a word without quotes", documentWith("\"Limits\"", "Limits") },
        { "single quotes", documentWith("\"r1\"", "'r1'") },
        { "cut off", validDocument.substr(0, validDocument.size() - 1) },
    };
    const std::vector<std::pair<std::string, std::string>> strings {
        { "a lone continuation byte", "\x80" },
        { "the byte ff", "\xff" },
        { "an overlong slash", "\xc0\xaf" },
        { "an overlong form of three bytes", "\xe0\x80\xaf" },
        { "an overlong form of four bytes", "\xf0\x80\x80\xaf" },
        { "a surrogate in UTF-8", "\xed\xa0\x80" },
        { "a pair of surrogates in UTF-8", "\xed\xa0\x81\xed\xb0\x80" },
        { "above U+10FFFF", "\xf4\x90\x80\x80" },
        { "a truncated sequence", "\xe2\x82" },
        { "a raw newline", "\n" },
        { "a raw tab", "\t" },
        { "a raw control character", "\x01" },
        { "an unknown escape", "\\x" },
        { "an escape with three digits", "\\u12g4" },
        { "a lone high surrogate", "\\ud800" },
        { "a lone low surrogate", "\\udc00" },
        { "a high surrogate before another character", "\\ud800\\u0041" },
        { "two high surrogates", "\\ud800\\ud800" },
        { "surrogates in the wrong order", "\\udc00\\ud800" },
    };
    for (const auto &odd : strings) {
        cases.push_back({ odd.first + " in a name", documentWith("r1", "r1" + odd.second) });
        cases.push_back(
            { odd.first + " in a key", documentWith("\"Tls\"", "\"T" + odd.second + "\"") });
    }
    for (const char *number :
         { "01",        "-01",   "1.",    ".5",     "+1",      "-",   "1e",
           "1e+",       "0x10",  "1e400", "-1e400", "1e99999", "NaN", "Infinity",
           "-Infinity", "1_000", "1,5",   "--1",    "True",    "nul" }) {
        cases.push_back(withMember(std::string("the value ") + number, number));
    }
    cases.push_back(withMember("1,000 lists in each other", nestedLists(1'000)));
    cases.push_back(withMember("100,000 open lists", std::string(100'000, '[')));
    cases.push_back(withMember("100,000 open objects", [] {
        std::string text;
        for (int i = 0; i < 100'000; ++i) {
            text += "{\"a\":";
        }
        return text;
    }()));
    return cases;
}

/// Documents that can be read but that break a rule for documents.
inline std::vector<DocumentCase> invalidDocuments()
{
    return {
        { "an unknown service", documentWith("\"Service\":\"s1\"", "\"Service\":\"s9\"") },
        { "an unknown service beside a split",
          documentWith("\"Action\":{", "\"Action\":{\"Service\":\"s9\",") },
        { "an unknown service with weight 0",
          documentWith("{\"Service\":\"s2\",\"Weight\":10}", "{\"Service\":\"s9\",\"Weight\":0}") },
        { "host and prefix twice", documentWith("/q/", "/p/") },
        { "a host that differs in case only", documentWith("b.example", "A.Example") },
        { "a host that differs in its port only", documentWith("b.example", "a.example:80") },
        { "a host that is only a port", documentWith("b.example", ":80") },
        { "an empty host", documentWith("a.example", "") },
        { "no host", documentWith("\"Hostname\":\"a.example\",", "") },
        { "a minute above the timeout", documentWith("\"400ms\"", "\"61200ms\"") },
        { "a minute above the timeout in fractions",
          documentWith("\"400ms\"", "\"61200.0001ms\"") },
        { "no attempts", documentWith("\"Attempts\":2", "\"Attempts\":0") },
        { "negative attempts", documentWith("\"Attempts\":2", "\"Attempts\":-1") },
        { "half an attempt", documentWith("\"Attempts\":2", "\"Attempts\":0.5") },
        { "attempts as text", documentWith("\"Attempts\":2", "\"Attempts\":\"2\"") },
        { "attempts beyond 64 bits",
          documentWith("\"Attempts\":2", "\"Attempts\":9223372036854775808") },
        { "an odd route type", documentWith("\"safe\"", "\"odd\"") },
        { "a route type in capitals", documentWith("\"safe\"", "\"Safe\"") },
        { "a time beyond 64 bits", documentWith("\"1.2s\"", "\"99999999999999999999ms\"") },
        { "a time beyond a clock's range", documentWith("\"1.2s\"", "\"9223372036854775ms\"") },
        { "a time without a unit", documentWith("\"1.2s\"", "\"1200\"") },
        { "a time in minutes", documentWith("\"1.2s\"", "\"1m\"") },
        { "a time with an exponent", documentWith("\"1.2s\"", "\"1e3ms\"") },
        { "a negative time", documentWith("\"1.2s\"", "\"-1s\"") },
        { "a time with two points", documentWith("\"1.2s\"", "\"1.2.3s\"") },
        { "a time with a NUL", documentWith("\"1.2s\"", "\"1.2s\\u0000\"") },
        { "a version of seven digits", documentWith("0000001c", "000001c") },
        { "a version of nine digits", documentWith("0000001c", "00000001c") },
        { "a version with a sign", documentWith("0000001c", "+000001c") },
        { "a version as a number", documentWith("\"0000001c\"", "28") },
        { "a list instead of the document", "[" + validDocument + "]" },
        { "weights of 0 only",
          documentWith("90},{\"Service\":\"s2\",\"Weight\":10",
                       "0},{\"Service\":\"s2\",\"Weight\":0") },
        { "a negative weight", documentWith("\"Weight\":90", "\"Weight\":-90") },
    };
}

/// Documents that are unusual but valid.
inline std::vector<DocumentCase> unusualDocuments()
{
    std::vector<DocumentCase> cases {
        { "the plain document", validDocument },
        { "version 0", documentWith("0000001c", "00000000") },
        { "the highest version", documentWith("0000001c", "FFFFFFFF") },
        { "1,001 attempts", documentWith("\"Attempts\":2", "\"Attempts\":1001") },
        { "the most attempts of 64 bits",
          documentWith("\"Attempts\":2", "\"Attempts\":9223372036854775807") },
        { "a whole number with a point", documentWith("\"Attempts\":2", "\"Attempts\":2.0") },
        { "a whole number with an exponent", documentWith("\"Attempts\":2", "\"Attempts\":2e0") },
        { "a low priority", documentWith("\"Priority\":2", "\"Priority\":2000000000000") },
        { "many connections",
          documentWith("\"MaxConnections\":260", "\"MaxConnections\":99999999999") },
        { "bodies of 8 GB", documentWith("67108864", "8589934592") },
        { "weights of 64 bits", documentWith("\"Weight\":90", "\"Weight\":9000000000000000000") },
        { "a service twice in a split", documentWith("\"Service\":\"s2\"", "\"Service\":\"s1\"") },
        { "a known service beside a split",
          documentWith("\"Action\":{", "\"Action\":{\"Service\":\"s2\",") },
        { "just below a minute above the timeout", documentWith("\"400ms\"", "\"61199.9999ms\"") },
        { "a fraction above the timeout", documentWith("\"400ms\"", "\"61.1999s\"") },
        { "a timeout of half a millisecond", documentWith("\"1.2s\"", "\"0.5ms\"") },
        { "a timeout of 90 years", documentWith("\"1.2s\"", "\"2838240000s\"") },
        { "a host with a dot at its end", documentWith("b.example", "a.example.") },
        { "an escaped slash", documentWith("/q/", "\\/q\\/") },
        { "an escaped key", documentWith("\"Version\"", "\"\\u0056ersion\"") },
        { "an escaped pair of surrogates", documentWith("r1", "r\\ud83c\\udf4a") },
        { "four bytes of UTF-8", documentWith("r1", "r\xf0\x9f\x8d\x8a") },
        { "the last code point", documentWith("r1", "r\xf4\x8f\xbf\xbf") },
        { "no limits",
          documentWith("\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
                       "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15s\"},",
                       "") },
        { "white space around it", " \r\n\t" + validDocument + "\r\n \t" },
    };
    for (const char *value :
         { "null", "{}", "[]", "-0", "1e-400", "1E+2", "123456789012345678901234567890",
           "\"\\u0000\"", "{\"a\":{\"a\":[{}]}}", "\"\x7f\"" }) {
        cases.push_back(withMember(std::string("the value ") + value, value));
    }
    cases.push_back(withMember("63 lists in each other", nestedLists(63)));
    cases.push_back(withMember("10 MB", "\"" + std::string(10'000'000, 'x') + "\""));
    return cases;
}

} // namespace kumquat::test
