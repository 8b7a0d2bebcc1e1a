#include "storage/Disk.h"

#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <map>
#include <memory>
#include <sys/file.h>
#include <sys/stat.h>
#include <unistd.h>

namespace pimento {

namespace {

constexpr const char *LockName = "lock";
constexpr mode_t FolderMode = 0700;
constexpr mode_t FileMode = 0600;
constexpr std::size_t ReadBytes = 1U << 20U;

/// An open folder, its lock file, and the files opened for writing.
struct PosixFolder {
  int Folder = -1;
  int Lock = -1;
  std::map<std::string, int> Files;

  PosixFolder() = default;
  PosixFolder(const PosixFolder &) = delete;
  PosixFolder &operator=(const PosixFolder &) = delete;
  ~PosixFolder() {
    for (const auto &File : Files)
      ::close(File.second);
    if (Lock >= 0)
      ::close(Lock);
    if (Folder >= 0)
      ::close(Folder);
  }
};

int openFile(PosixFolder &F, const std::string &Name, int &File) {
  auto Known = F.Files.find(Name);
  if (Known != F.Files.end()) {
    File = Known->second;
    return 0;
  }
  File =
      ::openat(F.Folder, Name.c_str(), O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (File < 0)
    return errno;
  F.Files[Name] = File;
  return 0;
}

void closeFile(PosixFolder &F, const std::string &Name) {
  auto Known = F.Files.find(Name);
  if (Known == F.Files.end())
    return;
  ::close(Known->second);
  F.Files.erase(Known);
}

int listFiles(PosixFolder &F, std::vector<std::string> &Names) {
  int Copy = ::openat(F.Folder, ".", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Copy < 0)
    return errno;
  DIR *Folder = ::fdopendir(Copy);
  if (Folder == nullptr) {
    int Error = errno;
    ::close(Copy);
    return Error;
  }
  Names.clear();
  errno = 0;
  while (const dirent *Entry = ::readdir(Folder)) {
    std::string Name = Entry->d_name;
    if (Name != "." && Name != ".." && Name != LockName)
      Names.push_back(Name);
  }
  int Error = errno;
  ::closedir(Folder);
  return Error;
}

int readFile(PosixFolder &F, const std::string &Name, std::string &Data) {
  int File = ::openat(F.Folder, Name.c_str(), O_RDONLY | O_CLOEXEC);
  if (File < 0)
    return errno;
  // After a failed sync, clean pages of the cache may hold data that never
  // reached the disk. Dropping them forces a read from the disk.
  ::posix_fadvise(File, 0, 0, POSIX_FADV_DONTNEED);
  Data.clear();
  std::string Buffer(ReadBytes, '\0');
  int Error = 0;
  for (;;) {
    ssize_t Count = ::read(File, Buffer.data(), Buffer.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      Error = errno;
    if (Count <= 0)
      break;
    Data.append(Buffer.data(), static_cast<std::size_t>(Count));
  }
  ::close(File);
  return Error;
}

int appendFile(PosixFolder &F, const std::string &Name, std::string_view Data) {
  int File = -1;
  if (int Error = openFile(F, Name, File))
    return Error;
  if (::lseek(File, 0, SEEK_END) < 0)
    return errno;
  while (!Data.empty()) {
    ssize_t Count = ::write(File, Data.data(), Data.size());
    if (Count < 0 && errno == EINTR)
      continue;
    if (Count < 0)
      return errno;
    if (Count == 0)
      return ENOSPC;
    Data.remove_prefix(static_cast<std::size_t>(Count));
  }
  return 0;
}

int syncFile(PosixFolder &F, const std::string &Name) {
  int File = -1;
  if (int Error = openFile(F, Name, File))
    return Error;
  return ::fdatasync(File) == 0 ? 0 : errno;
}

int truncateFile(PosixFolder &F, const std::string &Name, std::uint64_t Size) {
  int File = -1;
  if (int Error = openFile(F, Name, File))
    return Error;
  return ::ftruncate(File, static_cast<off_t>(Size)) == 0 ? 0 : errno;
}

int renameFile(PosixFolder &F, const std::string &From, const std::string &To) {
  closeFile(F, From);
  closeFile(F, To);
  int Done = ::renameat(F.Folder, From.c_str(), F.Folder, To.c_str());
  return Done == 0 ? 0 : errno;
}

int removeFile(PosixFolder &F, const std::string &Name) {
  closeFile(F, Name);
  return ::unlinkat(F.Folder, Name.c_str(), 0) == 0 ? 0 : errno;
}

/// Creates the folder if missing and syncs its parent, so that its name is
/// durable.
int makeFolder(const std::string &Path) {
  if (::mkdir(Path.c_str(), FolderMode) != 0)
    return errno == EEXIST ? 0 : errno;
  std::string Parent = Path + "/..";
  int Folder = ::open(Parent.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (Folder < 0)
    return errno;
  int Error = ::fsync(Folder) == 0 ? 0 : errno;
  ::close(Folder);
  return Error;
}

int openFolder(const std::string &Path, PosixFolder &F) {
  if (int Error = makeFolder(Path))
    return Error;
  F.Folder = ::open(Path.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
  if (F.Folder < 0)
    return errno;
  F.Lock = ::openat(F.Folder, LockName, O_RDWR | O_CREAT | O_CLOEXEC, FileMode);
  if (F.Lock < 0)
    return errno;
  if (::flock(F.Lock, LOCK_EX | LOCK_NB) != 0)
    return errno == EWOULDBLOCK ? EBUSY : errno;
  return 0;
}

} // namespace

int openPosixDisk(const std::string &Path, Disk &D) {
  auto F = std::make_shared<PosixFolder>();
  if (int Error = openFolder(Path, *F))
    return Error;
  D.List = [F](std::vector<std::string> &Names) {
    return listFiles(*F, Names);
  };
  D.Read = [F](const std::string &Name, std::string &Data) {
    return readFile(*F, Name, Data);
  };
  D.Append = [F](const std::string &Name, std::string_view Data) {
    return appendFile(*F, Name, Data);
  };
  D.Sync = [F](const std::string &Name) { return syncFile(*F, Name); };
  D.Truncate = [F](const std::string &Name, std::uint64_t Size) {
    return truncateFile(*F, Name, Size);
  };
  D.Rename = [F](const std::string &From, const std::string &To) {
    return renameFile(*F, From, To);
  };
  D.Remove = [F](const std::string &Name) { return removeFile(*F, Name); };
  D.SyncFolder = [F] { return ::fsync(F->Folder) == 0 ? 0 : errno; };
  return 0;
}

} // namespace pimento
