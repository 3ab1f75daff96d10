// Properties of frames: encoded messages decode to the same message, and no
// input makes the decoder crash, read past its end or allocate much memory
// (see also RejectsHugeCountsInSmallFrames in tests/unit/wire_frames.cc).
#include <gtest/gtest.h>
#include <rapidcheck.h>
#include <rapidcheck/gtest.h>

#include "../unit/wire_support.h"

// Generates random messages; visit_fields() calls it for each field.
class Generator {
  public:
    void
    operator()(uint64_t &number)
    {
        number = *rc::gen::arbitrary<uint64_t>();
    }
    void
    operator()(int64_t &number)
    {
        // Not negative, since the decoder rejects a negative proof_age_us.
        number = (int64_t)(*rc::gen::arbitrary<uint64_t>() >> 1);
    }
    void
    operator()(double &number)
    {
        number = *rc::gen::arbitrary<double>();
    }
    void
    operator()(bool &flag)
    {
        flag = *rc::gen::arbitrary<bool>();
    }
    void
    operator()(struct sl_name &name)
    {
        auto text =
            *rc::gen::container<std::string>(rc::gen::inRange<char>('!', '~'));
        name = SlName_Of(text.substr(0, Sl_NAME_MAX_BYTES).c_str());
    }
    void
    operator()(struct sl_str &bytes)
    {
        auto text =
            *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
        strings.push_back(std::make_unique<std::string>(std::move(text)));
        bytes = {strings.back()->data(), strings.back()->size()};
    }
    void
    operator()(struct sl_request_id &id)
    {
        (*this)(id.boot);
        (*this)(id.seq);
    }
    void
    versions(struct sl_msg_status &status)
    {
        counts.resize(*rc::gen::inRange<size_t>(0, Sl_STATUS_MAX_VERSIONS));
        for (struct sl_version_counts &version : counts) {
            visit_counts(version, *this);
        }
        status.version_count = counts.size();
        status.versions = counts.data();
    }

    struct sl_msg
    message()
    {
        struct sl_msg msg = {};
        msg.type =
            (enum sl_msg_type) * rc::gen::inRange<int>(1, Sl_MSG_TYPES_END);
        visit_fields(msg, *this);
        return msg;
    }

  private:
    // Bytes that the messages refer to.
    std::vector<std::unique_ptr<std::string>> strings;
    std::vector<struct sl_version_counts> counts;
};

// Decodes all complete frames at the start of `bytes`, from a copy of the
// exact size, so that ASan reports a read past the end. Returns the number of
// messages, or -1 if a frame is rejected; an incomplete last frame is not.
static int
decode_all(const std::string &bytes)
{
    struct sl_decoder *decoder = SlDecoder_New();
    std::vector<char> copy(bytes.begin(), bytes.end());
    size_t position = 0;
    int count = 0;
    for (;;) {
        struct sl_msg msg;
        struct sl_error err = {};
        size_t used = 0;
        enum sl_errno code = SlDecoder_Next(
            decoder, {copy.data() + position, copy.size() - position}, &msg,
            &used, &err);
        if (code != Sl_OK) {
            RC_ASSERT(err.code == code && err.text[0] != '\0');
            count = -1;
            break;
        }
        if (used == 0) {
            break;
        }
        // Reads every byte of the message, so that ASan checks them.
        print_msg(msg);
        position += used;
        count++;
    }
    SlDecoder_Free(decoder);
    return count;
}

// Returns a frame with this body: its length in 4 bytes, then the body.
static std::string
frame_with_body(const std::string &body)
{
    size_t len = body.size();
    return std::string{(char)(len >> 24), (char)(len >> 16), (char)(len >> 8),
                       (char)len} +
           body;
}

RC_GTEST_PROP(WireFrames, RoundTrip, ())
{
    Generator generator;
    struct sl_msg sent = generator.message();
    std::string bytes = frame_of(sent);
    struct sl_decoder *decoder = SlDecoder_New();
    struct sl_msg msg;
    struct sl_error err = {};
    size_t used = 0;
    enum sl_errno code = SlDecoder_Next(decoder, {bytes.data(), bytes.size()},
                                        &msg, &used, &err);
    std::string got = code == Sl_OK ? print_msg(msg) : err.text;
    SlDecoder_Free(decoder);
    RC_ASSERT(got == print_msg(sent));
    RC_ASSERT(used == bytes.size());
}

RC_GTEST_PROP(WireFrames, SeveralFramesDecodeFromOneRead, ())
{
    Generator generator;
    int count = *rc::gen::inRange(0, 8);
    std::string bytes;
    for (int i = 0; i < count; i++) {
        bytes += frame_of(generator.message());
    }
    size_t cut = *rc::gen::inRange<size_t>(0, bytes.size() + 1);
    RC_ASSERT(decode_all(bytes) == count);
    RC_ASSERT(decode_all(bytes.substr(0, cut)) >= 0);
}

RC_GTEST_PROP(WireFrames, RandomBytesAreSafe, ())
{
    auto bytes = *rc::gen::container<std::string>(rc::gen::arbitrary<char>());
    decode_all(bytes);
    decode_all(frame_with_body(bytes));
}

RC_GTEST_PROP(WireFrames, MutatedFramesAreSafe, ())
{
    Generator generator;
    const size_t length_bytes = 4;
    std::string body = frame_of(generator.message()).substr(length_bytes);
    int changes = *rc::gen::inRange(1, 6);
    for (int i = 0; i < changes; i++) {
        size_t position = *rc::gen::inRange<size_t>(0, body.size());
        body[position] = *rc::gen::arbitrary<char>();
    }
    size_t cut = *rc::gen::inRange<size_t>(0, body.size() + 1);
    decode_all(frame_with_body(body));
    decode_all(frame_with_body(body.substr(0, cut)));
}
