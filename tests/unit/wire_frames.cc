// Unit tests of messages and frames.
#include <gtest/gtest.h>

#include "wire_support.h"

// A visitor that sets each number and name to a value that no other field of
// the message has, so that exchanged fields show up as a difference.
class Filler {
  public:
    void
    operator()(uint64_t &number)
    {
        number = next();
    }
    void
    operator()(int64_t &number)
    {
        number = (int64_t)next();
    }
    void
    operator()(double &number)
    {
        number = (double)next() / 4;
    }
    void
    operator()(bool &flag)
    {
        flag = true;
    }
    void
    operator()(struct sl_name &name)
    {
        name = SlName_Of(("n" + std::to_string(next())).c_str());
    }
    void
    operator()(struct sl_str &bytes)
    {
        // NUL and bytes over 127 are allowed.
        bytes = {"\0\xff\x80some bytes", 6 + next() % 7};
    }
    void
    operator()(struct sl_request_id &id)
    {
        id = {next(), next()};
    }
    void
    versions(struct sl_msg_status &status)
    {
        for (struct sl_version_counts &one : counts) {
            visit_counts(one, *this);
        }
        status.version_count = Sl_STATUS_MAX_VERSIONS;
        status.versions = counts;
    }

  private:
    uint64_t
    next()
    {
        return last += 1000;
    }
    uint64_t last = 0;
    struct sl_version_counts counts[Sl_STATUS_MAX_VERSIONS] = {};
};

class Decoder : public testing::Test {
  protected:
    Decoder() : decoder(SlDecoder_New())
    {
    }
    ~Decoder() override
    {
        SlDecoder_Free(decoder);
    }

    // Decodes `bytes` from a buffer of their exact size, so that ASan detects
    // a read past their end. The views in `msg` point into the buffer.
    enum sl_errno
    decode(const std::string &bytes)
    {
        buffer.assign(bytes.begin(), bytes.end());
        buffer.shrink_to_fit();
        return SlDecoder_Next(decoder, {buffer.data(), buffer.size()}, &msg,
                              &used, &err);
    }

    // Returns a frame with a body of raw msgpack.
    static std::string
    frame(const std::string &body)
    {
        size_t len = body.size();
        std::string head = {(char)(len >> 24), (char)(len >> 16),
                            (char)(len >> 8), (char)len};
        return head + body;
    }

    struct sl_decoder *decoder;
    std::vector<char> buffer;
    struct sl_msg msg = {};
    struct sl_error err = {};
    size_t used = 0;
};

TEST_F(Decoder, RoundTripsEveryType)
{
    for (int type = Sl_MSG_HELLO; type < Sl_MSG_TYPES_END; type++) {
        Filler filler;
        struct sl_msg sent = {};
        sent.type = (enum sl_msg_type)type;
        visit_fields(sent, filler);
        std::string bytes = frame_of(sent);
        ASSERT_EQ(decode(bytes + "next"), Sl_OK) << err.text;
        EXPECT_EQ(used, bytes.size());
        EXPECT_EQ(print_msg(msg), print_msg(sent));
    }
}

TEST_F(Decoder, WaitsForACompleteFrame)
{
    Filler filler;
    struct sl_msg sent = {};
    sent.type = Sl_MSG_RUN;
    visit_fields(sent, filler);
    std::string bytes = frame_of(sent);
    for (size_t len = 0; len < bytes.size(); len++) {
        EXPECT_EQ(decode(bytes.substr(0, len)), Sl_OK);
        EXPECT_EQ(used, 0u);
    }
}

TEST_F(Decoder, RejectsATruncatedMessage)
{
    Filler filler;
    struct sl_msg sent = {};
    sent.type = Sl_MSG_RUN;
    visit_fields(sent, filler);
    std::string body = frame_of(sent).substr(4);
    for (size_t len = 0; len < body.size(); len++) {
        EXPECT_EQ(decode(frame(body.substr(0, len))), Sl_ERR_INVALID);
    }
    EXPECT_EQ(decode(frame(body + "\x01")), Sl_ERR_INVALID);
}

TEST_F(Decoder, RejectsAnotherWireVersion)
{
    struct sl_msg sent = {};
    sent.type = Sl_MSG_HELLO;
    sent.u.hello.wire_version = 2;
    EXPECT_EQ(decode(frame_of(sent)), Sl_ERR_REFUSED);
    EXPECT_STREQ(err.text, "wire version 2 is not supported, only 1");
    // The rest of such a hello is not checked: [1, 0, 0, 7, true].
    EXPECT_EQ(decode(frame(std::string("\x95\x01\x00\x00\x07\xc3", 6))),
              Sl_ERR_REFUSED);
    EXPECT_STREQ(err.text, "wire version 7 is not supported, only 1");
    EXPECT_EQ(decode(frame(std::string("\x93\x01\x00\x00", 4))),
              Sl_ERR_INVALID);
}

TEST_F(Decoder, RejectsOversizedFrames)
{
    std::string length = {(char)0xff, (char)0xff, (char)0xff, (char)0xff};
    EXPECT_EQ(decode(length), Sl_ERR_TOO_LARGE);
    struct sl_msg sent = {};
    struct sl_buf out = {};
    std::string body(Sl_FRAME_MAX_BYTES, 'x');
    sent.type = Sl_MSG_CHUNK;
    sent.u.chunk.bytes = {body.data(), body.size()};
    SlBuf_AppendC(&out, "kept");
    EXPECT_EQ(SlWire_Encode(&sent, &out, &err), Sl_ERR_TOO_LARGE);
    EXPECT_EQ(std::string(out.ptr, out.len), "kept");
    sent.u.chunk.bytes.len = Sl_BODY_MAX_BYTES;
    SlBuf_Clear(&out);
    EXPECT_EQ(SlWire_Encode(&sent, &out, &err), Sl_OK);
    EXPECT_EQ(decode(std::string(out.ptr, out.len)), Sl_OK);
    EXPECT_EQ(msg.u.chunk.bytes.len, Sl_BODY_MAX_BYTES);
    SlBuf_Free(&out);
}

// msgpack allocates memory for as many items as an array declares: 50 bytes
// with ten nested arrays made it request 40 GB.
TEST_F(Decoder, RejectsHugeCountsInSmallFrames)
{
    const std::string bodies[] = {
        std::string("\xdd\x05\xff\xff\xff", 5), // array of 100 million
        std::string("\xdc\xff\xff", 3),         // array of 65535
        std::string("\xdf\x05\xff\xff\xff", 5), // map
        std::string("\xc6\xff\xff\xff\xff", 5), // 4 GiB of bytes
        std::string("\xdb\xff\xff\xff\xff", 5), // 4 GiB of text
        std::string(100000, '\x9f'),            // nested arrays
        std::string(100000, '\x01'),            // many values
    };
    for (const std::string &body : bodies) {
        EXPECT_EQ(decode(frame(body)), Sl_ERR_INVALID);
    }
}

TEST_F(Decoder, RejectsInvalidFields)
{
    const std::string bodies[] = {
        std::string("\xc0", 1),                     // nil
        std::string("\x92\x0b\x00", 3),             // no proof age
        std::string("\x93\x00\x00\x00", 4),         // type 0
        std::string("\x93\x7f\x00\x00", 4),         // type 127
        std::string("\x93\x0b\x00\xff", 4),         // proof age -1
        std::string("\x94\x11\x00\x00\xc3", 5),     // pull from true
        std::string("\x95\x11\x00\x00\x01\x02", 6), // one field too many
        // billed, with a control byte in the name
        std::string("\x94\x09\x00\x00\xc4\x01\x07", 7),
        // rated, with NaN as the score
        std::string("\x95\x0b\x00\x00\xc4\x00\xcb\x7f\xf8\0\0\0\0\0\0", 15),
    };
    for (const std::string &body : bodies) {
        EXPECT_EQ(decode(frame(body)), Sl_ERR_INVALID);
    }
    struct sl_msg sent = {};
    sent.type = Sl_MSG_FAIL;
    sent.u.fail.outcome = Sl_OUTCOME_RAN;
    EXPECT_EQ(decode(frame_of(sent)), Sl_ERR_INVALID);
}

TEST(Wire, FormatsIdsTypesAndOutcomes)
{
    struct sl_name name = SlRequestId_Name({0x12, 0xab});
    EXPECT_STREQ(name.text, "000000000000001200000000000000ab");
    EXPECT_STREQ(SlMsg_TypeName(Sl_MSG_PIN_ASK), "pin-ask");
    EXPECT_STREQ(SlMsg_TypeName((enum sl_msg_type)0), "invalid");
    EXPECT_STREQ(SlOutcome_Name(Sl_OUTCOME_NOT_RUN), "not-run");
}
