/* Makes system calls of a process fail, by rules that another process switches on and off.

   Loaded with LD_PRELOAD.  FAULT_SHIM_RULES holds the rules, "call:errno:per_mille" joined by commas, and
   FAULT_SHIM_CONTROL a file of one `struct control` for each rule, which both processes map.  FAULT_SHIM_SEED
   seeds the draws.  An errno of 0 makes reads and writes short (1 to 7 bytes).  The calls "read" and "write"
   are those of all sockets, "read_out" and "write_out" those of sockets that this process has connected.  For
   the call "wall_clock" the control's `value` is added to the wall clock, in milliseconds. */

#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdarg.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

#define MAX_RULES 32
#define MAX_SHORT_BYTES 7
#define MAX_DESCRIPTORS 65536

struct control {
    int64_t enabled;
    int64_t value;
    int64_t calls;
    int64_t injected;
};

struct rule {
    char call[16];
    int error;
    int per_mille;
};

/* Which sockets this process has connected. */
static char connected[MAX_DESCRIPTORS];
static struct rule rules[MAX_RULES];
static struct control *controls;
static int rule_count;
static uint64_t random_state;

static uint64_t next_random(void) {
    /* xorshift64* */
    random_state ^= random_state >> 12;
    random_state ^= random_state << 25;
    random_state ^= random_state >> 27;
    return random_state * 2685821657736338717ULL;
}

__attribute__((constructor)) static void load_rules(void) {
    const char *text = getenv("FAULT_SHIM_RULES");
    const char *path = getenv("FAULT_SHIM_CONTROL");
    const char *seed = getenv("FAULT_SHIM_SEED");
    if (!text || !path) return;
    random_state = 0x9E3779B97F4A7C15ULL ^ strtoull(seed ? seed : "1", NULL, 10);
    char *copy = strdup(text), *rest = copy, *entry;
    int count = 0;
    while ((entry = strsep(&rest, ",")) && count < MAX_RULES) {
        struct rule *rule = &rules[count];
        if (sscanf(entry, "%15[^:]:%d:%d", rule->call, &rule->error, &rule->per_mille) == 3) count++;
    }
    free(copy);
    if (!count) return;
    int descriptor = open(path, O_RDWR | O_CLOEXEC);
    if (descriptor < 0) abort();
    controls = mmap(NULL, count * sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, descriptor, 0);
    if (controls == MAP_FAILED) abort();
    close(descriptor);
    rule_count = count;
}

/* Return the rule that strikes this call, or NULL. */
static struct rule *strike(const char *call) {
    for (int i = 0; i < rule_count; i++) {
        if (!controls[i].enabled || strcmp(rules[i].call, call)) continue;
        controls[i].calls++;
        if ((int)(next_random() % 1000) >= rules[i].per_mille) continue;
        controls[i].injected++;
        return &rules[i];
    }
    return NULL;
}

static int fails(const char *call) {
    struct rule *rule = strike(call);
    if (!rule) return 0;
    errno = rule->error;
    return 1;
}

#define REAL(name) \
    static __typeof__(name) *real; \
    if (!real) real = (__typeof__(name) *)dlsym(RTLD_NEXT, #name)

static int has_type(int descriptor, mode_t type) {
    struct stat status;
    int saved = errno;
    int matches = fstat(descriptor, &status) == 0 && (status.st_mode & S_IFMT) == type;
    errno = saved;
    return matches;
}

/* Return the bytes that a transfer of a socket may move: `size`, fewer, or -1 with errno set. */
static ssize_t limit_transfer(const char *call, const char *call_out, int descriptor, size_t size) {
    if (!rule_count || !size || !has_type(descriptor, S_IFSOCK)) return (ssize_t)size;
    struct rule *rule = strike(call);
    if (!rule && descriptor < MAX_DESCRIPTORS && connected[descriptor]) rule = strike(call_out);
    if (!rule) return (ssize_t)size;
    if (rule->error) {
        errno = rule->error;
        return -1;
    }
    size_t most = 1 + next_random() % MAX_SHORT_BYTES;
    return (ssize_t)(size < most ? size : most);
}

static int file_fails(const char *call, int descriptor) {
    return rule_count && has_type(descriptor, S_IFREG) && fails(call);
}

static int note_accepted(int descriptor) {
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) connected[descriptor] = 0;
    return descriptor;
}

int accept4(int socket, struct sockaddr *address, socklen_t *length, int flags) {
    REAL(accept4);
    return fails("accept") ? -1 : note_accepted(real(socket, address, length, flags));
}

int accept(int socket, struct sockaddr *address, socklen_t *length) {
    REAL(accept);
    return fails("accept") ? -1 : note_accepted(real(socket, address, length));
}

int socket(int domain, int type, int protocol) {
    REAL(socket);
    if (fails("socket")) return -1;
    int descriptor = real(domain, type, protocol);
    if (descriptor >= 0 && descriptor < MAX_DESCRIPTORS) connected[descriptor] = 0;
    return descriptor;
}

int connect(int socket, const struct sockaddr *address, socklen_t length) {
    REAL(connect);
    if (fails("connect")) return -1;
    if (socket >= 0 && socket < MAX_DESCRIPTORS) connected[socket] = 1;
    return real(socket, address, length);
}

ssize_t read(int descriptor, void *buffer, size_t size) {
    REAL(read);
    ssize_t limit = limit_transfer("read", "read_out", descriptor, size);
    return limit < 0 ? -1 : real(descriptor, buffer, (size_t)limit);
}

ssize_t recv(int descriptor, void *buffer, size_t size, int flags) {
    REAL(recv);
    ssize_t limit = limit_transfer("read", "read_out", descriptor, size);
    return limit < 0 ? -1 : real(descriptor, buffer, (size_t)limit, flags);
}

ssize_t write(int descriptor, const void *buffer, size_t size) {
    REAL(write);
    if (file_fails("file_write", descriptor)) return -1;
    ssize_t limit = limit_transfer("write", "write_out", descriptor, size);
    return limit < 0 ? -1 : real(descriptor, buffer, (size_t)limit);
}

ssize_t send(int descriptor, const void *buffer, size_t size, int flags) {
    REAL(send);
    ssize_t limit = limit_transfer("write", "write_out", descriptor, size);
    return limit < 0 ? -1 : real(descriptor, buffer, (size_t)limit, flags);
}

static size_t total_bytes(const struct iovec *parts, int count) {
    size_t total = 0;
    for (int i = 0; i < count; i++) total += parts[i].iov_len;
    return total;
}

ssize_t writev(int descriptor, const struct iovec *parts, int count) {
    REAL(writev);
    if (file_fails("file_write", descriptor)) return -1;
    size_t total = total_bytes(parts, count);
    ssize_t limit = limit_transfer("write", "write_out", descriptor, total);
    if (limit < 0) return -1;
    if ((size_t)limit == total) return real(descriptor, parts, count);
    struct iovec first = parts[0];
    for (int i = 0; i < count && !first.iov_len; i++) first = parts[i];
    if (first.iov_len > (size_t)limit) first.iov_len = (size_t)limit;
    return real(descriptor, &first, 1);
}

ssize_t sendmsg(int descriptor, const struct msghdr *message, int flags) {
    REAL(sendmsg);
    size_t total = total_bytes(message->msg_iov, (int)message->msg_iovlen);
    ssize_t limit = limit_transfer("write", "write_out", descriptor, total);
    if (limit < 0) return -1;
    if ((size_t)limit == total) return real(descriptor, message, flags);
    struct iovec first = message->msg_iov[0];
    for (size_t i = 0; i < message->msg_iovlen && !first.iov_len; i++) first = message->msg_iov[i];
    if (first.iov_len > (size_t)limit) first.iov_len = (size_t)limit;
    struct msghdr shorter = *message;
    shorter.msg_iov = &first;
    shorter.msg_iovlen = 1;
    return real(descriptor, &shorter, flags);
}

/* A wait is interrupted only before any event (poll(2)): one that finds an event at once returns it. */

int epoll_wait(int descriptor, struct epoll_event *events, int count, int timeout) {
    REAL(epoll_wait);
    int ready = rule_count ? real(descriptor, events, count, 0) : 0;
    if (ready) return ready;
    return fails("wait") ? -1 : real(descriptor, events, count, timeout);
}

int epoll_pwait(int descriptor, struct epoll_event *events, int count, int timeout, const sigset_t *mask) {
    REAL(epoll_pwait);
    int ready = rule_count ? real(descriptor, events, count, 0, mask) : 0;
    if (ready) return ready;
    return fails("wait") ? -1 : real(descriptor, events, count, timeout, mask);
}

int poll(struct pollfd *descriptors, nfds_t count, int timeout) {
    REAL(poll);
    int ready = rule_count ? real(descriptors, count, 0) : 0;
    if (ready) return ready;
    return fails("wait") ? -1 : real(descriptors, count, timeout);
}

ssize_t pwrite(int descriptor, const void *buffer, size_t size, off_t offset) {
    REAL(pwrite);
    return file_fails("file_write", descriptor) ? -1 : real(descriptor, buffer, size, offset);
}

int fsync(int descriptor) {
    REAL(fsync);
    return fails("fsync") ? -1 : real(descriptor);
}

int fdatasync(int descriptor) {
    REAL(fdatasync);
    return fails("fsync") ? -1 : real(descriptor);
}

int ftruncate(int descriptor, off_t length) {
    REAL(ftruncate);
    return fails("truncate") ? -1 : real(descriptor, length);
}

int rename(const char *from, const char *to) {
    REAL(rename);
    return fails("rename") ? -1 : real(from, to);
}

int posix_fallocate(int descriptor, off_t offset, off_t length) {
    REAL(posix_fallocate);
    struct rule *rule = strike("fallocate");
    return rule ? rule->error : real(descriptor, offset, length);
}

/* Return the shift of the wall clock in milliseconds. */
static int64_t wall_clock_shift(void) {
    int64_t shift = 0;
    for (int i = 0; i < rule_count; i++) {
        if (!controls[i].enabled || strcmp(rules[i].call, "wall_clock")) continue;
        controls[i].injected++;
        shift += controls[i].value;
    }
    return shift;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
    REAL(clock_gettime);
    int result = real(clock, time);
    if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE) && rule_count) {
        int64_t shift = wall_clock_shift();
        int64_t nanoseconds = time->tv_nsec + (shift % 1000) * 1000000;
        time->tv_sec += shift / 1000;
        if (nanoseconds < 0) {
            nanoseconds += 1000000000;
            time->tv_sec--;
        } else if (nanoseconds >= 1000000000) {
            nanoseconds -= 1000000000;
            time->tv_sec++;
        }
        time->tv_nsec = nanoseconds;
    }
    return result;
}
