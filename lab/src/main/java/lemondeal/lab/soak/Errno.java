package lemondeal.lab.soak;

/** Errors of Linux system calls, with their numbers on x86-64 and arm64. */
enum Errno {
  EINTR(4), EIO(5), EAGAIN(11), ENFILE(23), EMFILE(24), ENOSPC(28), EADDRNOTAVAIL(99), ENETUNREACH(101),
  ECONNABORTED(103), ENOBUFS(105), EHOSTUNREACH(113);

  final int number;

  Errno(int number) {
    this.number = number;
  }
}
