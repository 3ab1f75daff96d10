// Runs the fuzz target of HTTP messages and event streams on mutations of the
// messages and streams in `corpus`. The seeds are fixed, so that the inputs
// are the same in each run; `make fuzz` generates further inputs.
#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "../fuzz/reader_target.h"

namespace {

const std::vector<std::string> corpus = {
    "GET /a HTTP/1.1\r\nHost: h\r\nConnection: close, x\r\n\r\n",
    "POST /a/b?c HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcdeGET / "
    "HTTP/1.1\r\n\r\n",
    "POST / HTTP/1.1\r\nTransfer-Encoding: "
    "chunked\r\n\r\n3\r\nabc\r\n2;x=y\r\n"
    "de\r\n0\r\nTrailer: 1\r\n\r\n",
    "HTTP/1.1 200 OK\r\nContent-Length: 2\r\nKeep-Alive: timeout=3\r\n\r\nok",
    "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 503 Busy\r\nRetry-After: "
    "0.5\r\nContent-Length: 0\r\n\r\n",
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "10\r\nid: 0\ndata: ab\n\n\r\n0\r\n\r\n",
    "HTTP/1.0 200 OK\r\n\r\nwhat ends with its connection",
    "id: 0\ndata: a\n\nid: 1\r\ndata: b\r\n\r\n: comment\n\nid:x\n\nid: 7\n\n",
};

// Applies one random mutation: inserts a fragment of HTTP syntax, removes,
// duplicates or overwrites bytes, copies some from another text of the corpus,
// or inserts one character up to 599 times.
void
mutate(std::string *text, struct sl_random *random)
{
    static const char *const fragments[] = {
        "\r\n",     "\n\n",     "\r\n\r\n", ":",   "0\r\n", "chunked",
        "-1",       " ",        "\t",       "\n",  "\r",    "id:",
        "ffffffff", "HTTP/1.1", ";",        "%00", "\x7f",  "\xff"};
    auto below = [random](size_t bound) {
        return (size_t)SlRandom_Below(random,
                                      (uint32_t)std::max(bound, (size_t)1));
    };
    size_t offset = below(text->size() + 1);
    size_t len = std::min(below(9), text->size() - offset);
    const std::string &other = corpus[below(corpus.size())];
    switch (below(6)) {
    case 0:
        text->insert(
            offset,
            fragments[below(sizeof(fragments) / sizeof(fragments[0]))]);
        break;
    case 1:
        text->erase(offset, len);
        break;
    case 2:
        text->insert(offset, text->substr(offset, len));
        break;
    case 3:
        text->insert(offset, other.substr(below(other.size()), below(40)));
        break;
    case 4:
        if (offset < text->size()) {
            (*text)[offset] = (char)below(256);
        }
        break;
    default:
        text->insert(offset, below(600), "ax0\r\n :;"[below(8)]);
        break;
    }
}

TEST(ReaderFuzz, SeededMutations)
{
    for (uint64_t seed = 0; seed < 20000; seed++) {
        struct sl_random random = {seed};
        std::string text = corpus[seed % corpus.size()];
        for (size_t i = 1 + SlRandom_Below(&random, 5); i > 0; i--) {
            mutate(&text, &random);
        }
        SCOPED_TRACE(seed);
        run_reader_target(reinterpret_cast<const uint8_t *>(text.data()),
                          text.size());
    }
}

} // namespace
