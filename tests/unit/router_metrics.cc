// Metrics as Prometheus text, their table in the docs, and which log lines are
// omitted while the reader of the log is slow.
#include <gtest/gtest.h>

#include <fcntl.h>
#include <unistd.h>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <map>
#include <set>
#include <sstream>
#include <string>
#include <vector>

extern "C" {
#include "sl_router.h"
}

namespace {

const double bounds[] = {0.1, 1, 0};
const struct sl_metric_def defs[] = {
    {"calls_total", Sl_METRIC_COUNTER, "Calls.", {"service", "reason"}, NULL},
    {"waiting", Sl_METRIC_GAUGE, "Waiting.", {NULL}, NULL},
    {"took_seconds", Sl_METRIC_HISTOGRAM, "Time.", {"route"}, bounds},
};

std::string
text_of(const struct sl_metrics *metrics)
{
    struct sl_buf out = {};
    SlMetrics_AppendText(metrics, &out);
    std::string text(out.ptr, out.len);
    SlBuf_Free(&out);
    return text;
}

TEST(Metrics, AreWrittenAsPrometheusText)
{
    struct sl_metrics *metrics = SlMetrics_New(defs, G_N_ELEMENTS(defs));
    struct sl_name service = SlName_Of("a\"b");
    struct sl_name reason = SlName_Of("silent");
    SlMetrics_Add(metrics, 0, &service, &reason, 2);
    SlMetrics_Add(metrics, 0, &service, &reason, 1);
    SlMetrics_Set(metrics, 1, NULL, NULL, 7);
    SlMetrics_Set(metrics, 1, NULL, NULL, 3);
    SlMetrics_Observe(metrics, 2, &service, NULL, 0.1);
    SlMetrics_Observe(metrics, 2, &service, NULL, 0.5);
    SlMetrics_Observe(metrics, 2, &service, NULL, 9);
    EXPECT_EQ(text_of(metrics),
              "# HELP calls_total Calls.\n"
              "# TYPE calls_total counter\n"
              "calls_total{service=\"a\\\"b\",reason=\"silent\"} 3\n"
              "# HELP waiting Waiting.\n"
              "# TYPE waiting gauge\n"
              "waiting 3\n"
              "# HELP took_seconds Time.\n"
              "# TYPE took_seconds histogram\n"
              "took_seconds_bucket{route=\"a\\\"b\",le=\"0.1\"} 1\n"
              "took_seconds_bucket{route=\"a\\\"b\",le=\"1\"} 2\n"
              "took_seconds_bucket{route=\"a\\\"b\",le=\"+Inf\"} 3\n"
              "took_seconds_sum{route=\"a\\\"b\"} 9.6\n"
              "took_seconds_count{route=\"a\\\"b\"} 3\n");
    SlMetrics_Free(metrics);
}

// A metric keeps 128 series; further label values are counted as "other".
TEST(Metrics, NumberOfLabelsIsBounded)
{
    struct sl_metrics *metrics = SlMetrics_New(defs, G_N_ELEMENTS(defs));
    struct sl_name reason = SlName_Of("r");
    struct sl_name other = SlName_Of("other");
    for (int i = 0; i < 1000; i++) {
        struct sl_name service = SlName_Of(std::to_string(i).c_str());
        SlMetrics_Add(metrics, 0, &service, &reason, 1);
    }
    EXPECT_EQ(SlMetrics_Value(metrics, 0, &other, &other), 1000 - 128);
    SlMetrics_Free(metrics);
}

// The table of docs/operations/metrics.md has a row for each metric, with its
// type, labels and help text, and no other row.
TEST(Metrics, AreDescribedInTheDocs)
{
    std::filesystem::path path =
        std::filesystem::path(__FILE__).parent_path() /
        "../../docs/operations/metrics.md";
    std::ifstream file(path);
    ASSERT_TRUE(file) << path;
    std::set<std::string> rows;
    for (std::string line; std::getline(file, line);) {
        if (line.rfind("| `", 0) == 0) {
            rows.insert(line);
        }
    }
    size_t count;
    const struct sl_metric_def *metric_defs = SlRouter_Metrics(&count);
    for (size_t i = 0; i < count; i++) {
        std::string labels;
        for (const char *label : metric_defs[i].labels) {
            if (label != NULL) {
                labels += (labels.empty() ? "" : ", ") + std::string(label);
            }
        }
        std::string row = "| `" + std::string(metric_defs[i].name) + "` | " +
                          SlMetrics_TypeName(metric_defs[i].type) + " | " +
                          (labels.empty() ? "-" : labels) + " | " +
                          metric_defs[i].help + " |";
        EXPECT_EQ(rows.erase(row), 1u) << "missing row: " << row;
    }
    for (const std::string &row : rows) {
        ADD_FAILURE() << "no such metric: " << row;
    }
}

/* ---- log lines with a slow reader ---- */

// A log that is written to a pipe whose reader has stalled.
class SlowReader {
  public:
    struct sl_log_sink *sink;
    struct sl_log_sampler *sampler;

    explicit SlowReader(size_t max_bytes)
    {
        EXPECT_EQ(pipe(fds), 0);
        fcntl(fds[0], F_SETFL, O_NONBLOCK);
        fcntl(fds[1], F_SETFL, O_NONBLOCK);
        std::string block(4096, '.');
        while (write(fds[1], block.data(), block.size()) > 0) {
            /* fills the pipe */
        }
        struct sl_log_sink_options options = {fds[1], max_bytes};
        sink = SlLogSink_New(&options);
        sampler = SlLogSampler_New(sink);
    }

    ~SlowReader()
    {
        SlLogSampler_Free(sampler);
        SlLogSink_Free(sink);
        close(fds[0]);
        close(fds[1]);
    }

    void
    write_line(uint64_t request, enum sl_log_request_state state,
               const std::string &text)
    {
        std::string line = text + "\n";
        SlLogSampler_Write(sampler, request, state,
                           {line.data(), line.size()});
        SlLogSink_Flush(sink);
    }

    // Empties the pipe as the log is flushed to it; returns all lines that
    // were not omitted.
    std::vector<std::string>
    read_all()
    {
        std::string text;
        char bytes[65536];
        for (int empty_reads = 0; empty_reads < 2;) {
            ssize_t n = read(fds[0], bytes, sizeof(bytes));
            empty_reads = n > 0 ? 0 : empty_reads + 1;
            text.append(bytes, n > 0 ? (size_t)n : 0);
            SlLogSink_Flush(sink);
        }
        std::vector<std::string> lines;
        std::istringstream in(
            text.substr(std::min(text.find_first_not_of('.'), text.size())));
        for (std::string line; std::getline(in, line);) {
            lines.push_back(line);
        }
        return lines;
    }

  private:
    int fds[2];
};

// While the reader has stalled, all lines of requests that failed are kept,
// and a sample of the others.
TEST(LogSampler, StalledReaderLosesNoFailedRequest)
{
    const int requests = 2000;
    SlowReader reader(256 * 1024);
    std::map<std::string, int> lines_by_request;
    // Three lines for each request; one request in a hundred fails.
    for (int i = 1; i <= requests; i++) {
        bool failed = i % 100 == 0;
        std::string name = (failed ? "failed-" : "good-") + std::to_string(i);
        std::string line = name + " " + std::string(200, 'x');
        reader.write_line(i, Sl_LOG_REQUEST_ACTIVE, line);
        reader.write_line(i, Sl_LOG_REQUEST_ACTIVE, line);
        reader.write_line(
            i, failed ? Sl_LOG_REQUEST_FAILED : Sl_LOG_REQUEST_SUCCEEDED,
            line);
    }
    int succeeded_lines = 0;
    for (const std::string &line : reader.read_all()) {
        lines_by_request[line.substr(0, line.find(' '))]++;
    }
    for (const auto &entry : lines_by_request) {
        succeeded_lines +=
            entry.first.rfind("good-", 0) == 0 ? entry.second : 0;
    }
    for (int i = 100; i <= requests; i += 100) {
        EXPECT_EQ(lines_by_request["failed-" + std::to_string(i)], 3) << i;
    }
    EXPECT_EQ(SlLogSink_DroppedLines(reader.sink), 0u);
    EXPECT_EQ(succeeded_lines + SlLogSampler_DroppedLines(reader.sampler),
              (uint64_t)(requests - requests / 100) * 3);
    // The next line is preceded by one with the number of omitted lines.
    reader.write_line(0, Sl_LOG_REQUEST_ACTIVE, "later");
    std::vector<std::string> later = reader.read_all();
    ASSERT_EQ(later.size(), 2u);
    EXPECT_EQ(later[0],
              "{\"event\":\"log_lines_sampled_out\",\"count\":" +
                  std::to_string(SlLogSampler_DroppedLines(reader.sampler)) +
                  ",\"kept_one_in\":16}");
}

TEST(LogSampler, NothingIsOmittedIfTheReaderKeepsUp)
{
    SlowReader reader(1024 * 1024);
    for (int i = 1; i <= 100; i++) {
        reader.write_line(i, Sl_LOG_REQUEST_ACTIVE, "a");
        reader.write_line(i, Sl_LOG_REQUEST_SUCCEEDED, "b");
    }
    EXPECT_EQ(reader.read_all().size(), 200u);
    EXPECT_EQ(SlLogSampler_DroppedLines(reader.sampler), 0u);
}

// The memory for lines is bounded even if the reader has stalled.
TEST(LogSampler, TheBufferIsBounded)
{
    SlowReader reader(64 * 1024);
    std::string line(200, 'x');
    for (int i = 1; i <= 5000; i++) {
        reader.write_line(i, Sl_LOG_REQUEST_FAILED, line);
    }
    EXPECT_LE(SlLogSink_Fill(reader.sink), 1.0);
    EXPECT_GT(SlLogSink_DroppedLines(reader.sink), 0u);
    uint64_t dropped = SlLogSink_DroppedLines(reader.sink);
    std::vector<std::string> lines = reader.read_all();
    EXPECT_EQ(lines.size() - 1 + dropped, 5000u);
    EXPECT_EQ(lines.back(), "{\"event\":\"log_lines_left_out\",\"count\":" +
                                std::to_string(dropped) + "}");
}

} // namespace
