/* Record, text, and HTTP messages on blocking sockets. */
#include "standins.h"

#include <arpa/inet.h>
#include <errno.h>
#include <poll.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

/* ---- record ---- */

static FILE *record;
static int64_t started_ms;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;

static int64_t
clock_ms(void)
{
    struct timespec now;
    clock_gettime(CLOCK_MONOTONIC, &now);
    return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

int64_t
SlCase_NowMs(void)
{
    return clock_ms() - started_ms;
}

void
SlCase_SleepMs(int64_t ms)
{
    struct timespec span = {ms / 1000, (ms % 1000) * 1000000};
    if (ms > 0) {
        nanosleep(&span, NULL);
    }
}

void
SlCase_SleepUntilMs(int64_t at_ms)
{
    SlCase_SleepMs(at_ms - SlCase_NowMs());
}

void
SlCase_Record(const char *format, ...)
{
    va_list arguments;
    pthread_mutex_lock(&record_lock);
    fprintf(record, "%7lld ms  ", (long long)SlCase_NowMs());
    va_start(arguments, format);
    vfprintf(record, format, arguments);
    va_end(arguments);
    fputc('\n', record);
    fflush(record);
    pthread_mutex_unlock(&record_lock);
}

bool
SlCase_HasTrouble(void)
{
    const char *trouble = getenv("TROUBLE");
    return trouble == NULL || strcmp(trouble, "0") != 0;
}

bool
SlCase_Begin(const char *record_path)
{
    started_ms = clock_ms();
    record = fopen(record_path, "w");
    if (record == NULL) {
        fprintf(stderr, "cannot write %s\n", record_path);
        return false;
    }
    SlCase_Record("TROUBLE=%d", SlCase_HasTrouble() ? 1 : 0);
    return true;
}

int
SlCase_End(enum sl_verdict verdict, const char *why)
{
    static const char *const names[] = {"held", "BROKEN", "could not run"};
    SlCase_Record("rule %s: %s", names[verdict], why);
    printf("rule %s: %s\n", names[verdict], why);
    return (int)verdict;
}

/* ---- text ---- */

void
SlText_Add(struct sl_text *text, const void *bytes, size_t len)
{
    if (text->len + len + 1 > text->size) {
        text->size = 2 * (text->len + len) + 64;
        text->ptr = realloc(text->ptr, text->size);
    }
    if (len > 0) {
        memcpy(text->ptr + text->len, bytes, len);
    }
    text->len += len;
    text->ptr[text->len] = '\0';
}

void
SlText_Printf(struct sl_text *text, const char *format, ...)
{
    char *line = NULL;
    va_list arguments;
    va_start(arguments, format);
    int len = vasprintf(&line, format, arguments);
    va_end(arguments);
    if (len >= 0) {
        SlText_Add(text, line, (size_t)len);
        free(line);
    }
}

void
SlText_Free(struct sl_text *text)
{
    free(text->ptr);
    memset(text, 0, sizeof(*text));
}

/* Removes the first bytes. */
static void
drop_front(struct sl_text *text, size_t len)
{
    memmove(text->ptr, text->ptr + len, text->len - len);
    text->len -= len;
    text->ptr[text->len] = '\0';
}

/* ---- sockets ---- */

bool
SlSocket_Write(int fd, const void *bytes, size_t len)
{
    const char *rest = bytes;
    while (len > 0) {
        ssize_t written = send(fd, rest, len, MSG_NOSIGNAL);
        if (written < 0 && errno == EINTR) {
            continue;
        }
        if (written <= 0) {
            return false;
        }
        rest += written;
        len -= (size_t)written;
    }
    return true;
}

static struct sockaddr_in
address_of(const char *ip, int port)
{
    struct sockaddr_in address = {.sin_family = AF_INET,
                                  .sin_port = htons((uint16_t)port)};
    inet_pton(AF_INET, ip, &address.sin_addr);
    return address;
}

int
SlSocket_Listen(const char *ip, int *port)
{
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = address_of(ip, *port);
    socklen_t len = sizeof(address);
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (fd < 0 || bind(fd, (struct sockaddr *)&address, len) != 0 ||
        listen(fd, 512) != 0 ||
        getsockname(fd, (struct sockaddr *)&address, &len) != 0) {
        return -1;
    }
    *port = ntohs(address.sin_port);
    return fd;
}

int
SlSocket_Connect(const char *ip, int port)
{
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    struct sockaddr_in address = address_of(ip, port);
    if (fd < 0 ||
        connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0) {
        if (fd >= 0) {
            close(fd);
        }
        return -1;
    }
    return fd;
}

/* ---- messages ---- */

enum sl_received {
    Sl_RECEIVED_BYTES,
    Sl_RECEIVED_END,
    Sl_RECEIVED_FAILURE,
};

/* Adds received bytes to `unread`. */
static enum sl_received
receive(int fd, int64_t deadline_ms, struct sl_message *message)
{
    char bytes[16384];
    struct pollfd waited = {.fd = fd, .events = POLLIN};
    int64_t wait_ms = deadline_ms - SlCase_NowMs();
    if (wait_ms <= 0 || poll(&waited, 1, (int)wait_ms) <= 0) {
        return Sl_RECEIVED_FAILURE;
    }
    ssize_t len = recv(fd, bytes, sizeof(bytes), 0);
    if (len <= 0) {
        return len == 0 ? Sl_RECEIVED_END : Sl_RECEIVED_FAILURE;
    }
    SlText_Add(&message->unread, bytes, (size_t)len);
    return Sl_RECEIVED_BYTES;
}

/* Moves the next `len` bytes from `unread` to the body. */
static void
take_body(struct sl_message *message, size_t len)
{
    SlText_Add(&message->body, message->unread.ptr, len);
    drop_front(&message->unread, len);
}

static bool
read_length(int fd, int64_t deadline_ms, size_t length,
            struct sl_message *message)
{
    while (message->body.len < length) {
        size_t missing = length - message->body.len;
        if (message->unread.len > 0) {
            take_body(message, message->unread.len < missing
                                   ? message->unread.len
                                   : missing);
        }
        else if (receive(fd, deadline_ms, message) != Sl_RECEIVED_BYTES) {
            return false;
        }
    }
    return true;
}

/* Reads a line into `unread`. Returns its length, or -1. */
static ssize_t
read_line(int fd, int64_t deadline_ms, struct sl_message *message)
{
    for (;;) {
        char *end =
            message->unread.len == 0
                ? NULL
                : memchr(message->unread.ptr, '\n', message->unread.len);
        if (end != NULL) {
            return end - message->unread.ptr + 1;
        }
        if (receive(fd, deadline_ms, message) != Sl_RECEIVED_BYTES) {
            return -1;
        }
    }
}

static bool
read_chunks(int fd, int64_t deadline_ms, struct sl_message *message)
{
    for (;;) {
        ssize_t line = read_line(fd, deadline_ms, message);
        if (line < 0) {
            return false;
        }
        size_t length = strtoul(message->unread.ptr, NULL, 16);
        drop_front(&message->unread, (size_t)line);
        if (length > 0 && !read_length(fd, deadline_ms,
                                       message->body.len + length, message)) {
            return false;
        }
        line = read_line(fd, deadline_ms, message);
        if (line < 0) {
            return false;
        }
        drop_front(&message->unread, (size_t)line);
        if (length == 0) {
            return true;
        }
    }
}

static bool
read_to_end(int fd, int64_t deadline_ms, struct sl_message *message)
{
    enum sl_received received;
    do {
        take_body(message, message->unread.len);
        received = receive(fd, deadline_ms, message);
    } while (received == Sl_RECEIVED_BYTES);
    return received == Sl_RECEIVED_END;
}

bool
SlMessage_Read(int fd, bool is_response, int64_t deadline_ms,
               struct sl_message *message)
{
    char value[64];
    char *end;
    while (message->unread.len == 0 ||
           (end = strstr(message->unread.ptr, "\r\n\r\n")) == NULL) {
        if (receive(fd, deadline_ms, message) != Sl_RECEIVED_BYTES) {
            return false;
        }
    }
    size_t len = (size_t)(end - message->unread.ptr) + 4;
    SlText_Add(&message->head, message->unread.ptr, len);
    drop_front(&message->unread, len);
    message->has_end_mark = true;
    if (SlMessage_Header(message, "Transfer-Encoding", value, sizeof(value))) {
        message->is_complete = read_chunks(fd, deadline_ms, message);
    }
    else if (SlMessage_Header(message, "Content-Length", value,
                              sizeof(value))) {
        message->is_complete =
            read_length(fd, deadline_ms, strtoul(value, NULL, 10), message);
    }
    else if (is_response) {
        message->has_end_mark = false;
        message->is_complete = read_to_end(fd, deadline_ms, message);
    }
    else {
        message->is_complete = true;
    }
    return true;
}

void
SlMessage_Reset(struct sl_message *message)
{
    SlText_Free(&message->head);
    SlText_Free(&message->body);
    message->is_complete = false;
    message->has_end_mark = false;
}

void
SlMessage_Free(struct sl_message *message)
{
    SlMessage_Reset(message);
    SlText_Free(&message->unread);
}

bool
SlMessage_Header(const struct sl_message *message, const char *name,
                 char *value, size_t size)
{
    size_t name_len = strlen(name);
    value[0] = '\0';
    if (message->head.len == 0) {
        return false;
    }
    const char *line = strstr(message->head.ptr, "\r\n");
    while (line != NULL && line[2] != '\0' && line[2] != '\r') {
        line += 2;
        const char *end = strstr(line, "\r\n");
        if (strncasecmp(line, name, name_len) == 0 && line[name_len] == ':') {
            const char *from = line + name_len + 1;
            while (*from == ' ') {
                from++;
            }
            snprintf(value, size, "%.*s", (int)(end - from), from);
            return true;
        }
        line = end;
    }
    return false;
}

int
SlMessage_Status(const struct sl_message *message)
{
    int status = 0;
    if (message->head.len > 0) {
        sscanf(message->head.ptr, "HTTP/1.%*d %d", &status);
    }
    return status;
}
