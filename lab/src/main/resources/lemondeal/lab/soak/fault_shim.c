/*
 * Fault injection library, loaded with LD_PRELOAD into a process under test. It steps the process's wall clock and
 * makes system calls fail with errors that Linux documents. The test writes the faults into a control file, which the
 * process maps; SOAK_SHIM_CONTROL names the file. Without that variable nothing is changed.
 *
 * The monotonic clock is never changed. Each fault has a count: that many of the next calls fail, later ones succeed.
 */
#define _GNU_SOURCE
#include <dlfcn.h>
#include <errno.h>
#include <fcntl.h>
#include <poll.h>
#include <stdint.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/syscall.h>
#include <sys/time.h>
#include <sys/uio.h>
#include <time.h>
#include <unistd.h>

/* Fault of one system call: the errno, and how many more calls fail with it. */
struct fault {
  int32_t error;
  int32_t left;
};

/* The mapped control file; FaultShim.java writes the same layout. */
struct control {
  int64_t wall_offset_ns;
  struct fault accept;
  struct fault socket;
  struct fault connect;
  struct fault wait;
  struct fault file_write;
  struct fault file_sync;
  int32_t socket_bytes_at_once; /* 0: no limit */
};

static struct control nothing;
static volatile struct control *control = &nothing;

/* The version under which glibc exports dlsym: that of its first release for the architecture. */
#if defined(__x86_64__)
#define DLSYM_VERSION "GLIBC_2.2.5"
#elif defined(__aarch64__)
#define DLSYM_VERSION "GLIBC_2.17"
#else
#error "the version of dlsym is not known for this architecture"
#endif

static void *(*real_dlsym)(void *, const char *);

static void find_real_dlsym(void) {
  if (real_dlsym != NULL) {
    return;
  }
  real_dlsym = (void *(*)(void *, const char *)) dlvsym(RTLD_NEXT, "dlsym", DLSYM_VERSION);
  if (real_dlsym == NULL) {
    /* Without stdio or write: this library replaces write, and finds the real one with dlsym. */
    static const char message[] = "fault_shim: the C library has no dlsym of version " DLSYM_VERSION "\n";
    syscall(SYS_write, STDERR_FILENO, message, sizeof(message) - 1);
    _exit(127);
  }
}

static void *real(const char *name) {
  find_real_dlsym();
  return real_dlsym(RTLD_NEXT, name);
}

#define REAL(type, name, ...)                      \
  static type (*next)(__VA_ARGS__);                \
  if (next == NULL) {                              \
    next = (type (*)(__VA_ARGS__)) real(#name);    \
  }

__attribute__((constructor)) static void map_control(void) {
  const char *path = getenv("SOAK_SHIM_CONTROL");
  if (path == NULL) {
    return;
  }
  int file = open(path, O_RDWR);
  if (file < 0) {
    return;
  }
  void *mapped = mmap(NULL, sizeof(struct control), PROT_READ | PROT_WRITE, MAP_SHARED, file, 0);
  close(file);
  if (mapped != MAP_FAILED) {
    control = mapped;
  }
}

/* Whether this call is to fail; if so, sets errno and decrements the count. */
static int fails(volatile struct fault *fault) {
  int32_t left = fault->left;
  while (left > 0) {
    if (__sync_bool_compare_and_swap(&fault->left, left, left - 1)) {
      errno = fault->error;
      return 1;
    }
    left = fault->left;
  }
  return 0;
}

static int is_socket(int descriptor) {
  struct stat status;
  return fstat(descriptor, &status) == 0 && S_ISSOCK(status.st_mode);
}

static int is_file(int descriptor) {
  struct stat status;
  return fstat(descriptor, &status) == 0 && S_ISREG(status.st_mode);
}

static size_t at_once(int descriptor, size_t asked) {
  int32_t most = control->socket_bytes_at_once;
  return most > 0 && (size_t) most < asked && is_socket(descriptor) ? (size_t) most : asked;
}

/* ---- Clocks ---- */

static void step(struct timespec *time) {
  int64_t nanos = (int64_t) time->tv_sec * 1000000000 + time->tv_nsec + control->wall_offset_ns;
  time->tv_sec = nanos / 1000000000;
  time->tv_nsec = nanos % 1000000000;
}

int clock_gettime(clockid_t clock, struct timespec *time) {
  REAL(int, clock_gettime, clockid_t, struct timespec *)
  int result = next(clock, time);
  if (result == 0 && (clock == CLOCK_REALTIME || clock == CLOCK_REALTIME_COARSE)) {
    step(time);
  }
  return result;
}

int gettimeofday(struct timeval *time, void *zone) {
  struct timespec now;
  int result = clock_gettime(CLOCK_REALTIME, &now);
  if (result == 0) {
    time->tv_sec = now.tv_sec;
    time->tv_usec = now.tv_nsec / 1000;
  }
  (void) zone;
  return result;
}

time_t time(time_t *out) {
  struct timespec now;
  clock_gettime(CLOCK_REALTIME, &now);
  if (out != NULL) {
    *out = now.tv_sec;
  }
  return now.tv_sec;
}

/* The JVM looks up clock_gettime with dlsym in one library, which bypasses preloaded libraries. */
void *dlsym(void *handle, const char *name) {
  if (strcmp(name, "clock_gettime") == 0) {
    return (void *) clock_gettime;
  }
  find_real_dlsym();
  return real_dlsym(handle, name);
}

/* ---- Sockets ---- */

int accept(int descriptor, struct sockaddr *address, socklen_t *length) {
  REAL(int, accept, int, struct sockaddr *, socklen_t *)
  return fails(&control->accept) ? -1 : next(descriptor, address, length);
}

int accept4(int descriptor, struct sockaddr *address, socklen_t *length, int flags) {
  REAL(int, accept4, int, struct sockaddr *, socklen_t *, int)
  return fails(&control->accept) ? -1 : next(descriptor, address, length, flags);
}

int socket(int domain, int type, int protocol) {
  REAL(int, socket, int, int, int)
  return domain == AF_INET && fails(&control->socket) ? -1 : next(domain, type, protocol);
}

int connect(int descriptor, const struct sockaddr *address, socklen_t length) {
  REAL(int, connect, int, const struct sockaddr *, socklen_t)
  return address->sa_family == AF_INET && fails(&control->connect) ? -1 : next(descriptor, address, length);
}

int epoll_wait(int descriptor, struct epoll_event *events, int most, int timeout) {
  REAL(int, epoll_wait, int, struct epoll_event *, int, int)
  return fails(&control->wait) ? -1 : next(descriptor, events, most, timeout);
}

ssize_t read(int descriptor, void *bytes, size_t count) {
  REAL(ssize_t, read, int, void *, size_t)
  return next(descriptor, bytes, at_once(descriptor, count));
}

ssize_t recv(int descriptor, void *bytes, size_t count, int flags) {
  REAL(ssize_t, recv, int, void *, size_t, int)
  return next(descriptor, bytes, at_once(descriptor, count), flags);
}

ssize_t send(int descriptor, const void *bytes, size_t count, int flags) {
  REAL(ssize_t, send, int, const void *, size_t, int)
  return next(descriptor, bytes, at_once(descriptor, count), flags);
}

/* ---- Files; write is also used for sockets ---- */

ssize_t write(int descriptor, const void *bytes, size_t count) {
  REAL(ssize_t, write, int, const void *, size_t)
  if (control->file_write.left > 0 && is_file(descriptor) && fails(&control->file_write)) {
    return -1;
  }
  return next(descriptor, bytes, at_once(descriptor, count));
}

ssize_t pwrite64(int descriptor, const void *bytes, size_t count, off64_t offset) {
  REAL(ssize_t, pwrite64, int, const void *, size_t, off64_t)
  if (control->file_write.left > 0 && is_file(descriptor) && fails(&control->file_write)) {
    return -1;
  }
  return next(descriptor, bytes, count, offset);
}

int fsync(int descriptor) {
  REAL(int, fsync, int)
  return fails(&control->file_sync) ? -1 : next(descriptor);
}

int fdatasync(int descriptor) {
  REAL(int, fdatasync, int)
  return fails(&control->file_sync) ? -1 : next(descriptor);
}
