#include "storage.h"

#include <dirent.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define LOCK_NAME "lock"
#define TEMP_SUFFIX ".tmp"
#define NAME_BYTES 128
#define MAX_OPEN_FILES 4

typedef struct OpenFile {
    char name[NAME_BYTES];
    int fd;
    bool name_synced; /* true if the folder was synced after opening */
} OpenFile;

/* Storage in a folder of the file system. Descriptors of appended files stay
 * open, since every sync needs one. */
typedef struct FileStorage {
    Storage base;
    char *folder;
    int folder_fd;
    int lock_fd;
    OpenFile open_files[MAX_OPEN_FILES];
    size_t open_file_count;
} FileStorage;

static Status
set_error_from_errno(const FileStorage *self, const char *name,
                     const char *operation, ErrCtx *err)
{
    int error = errno;
    Status status = ST_IO;

    if (error == ENOENT) {
        status = ST_NOT_FOUND;
    }
    else if (error == ENOSPC || error == EDQUOT) {
        status = ST_FULL;
    }
    return Err_Set(err, status, "%s/%s: %s failed: %s", self->folder, name,
                   operation, strerror(error));
}

static Status
check_name(const FileStorage *self, const char *name, ErrCtx *err)
{
    if (name[0] == '\0' || name[0] == '.' || strchr(name, '/') != NULL ||
        strlen(name) + sizeof(TEMP_SUFFIX) > NAME_BYTES) {
        return Err_Set(err, ST_INVALID, "%s: invalid file name '%s'",
                       self->folder, name);
    }
    return ST_OK;
}

static int
write_all(int fd, const char *data, size_t len)
{
    while (len > 0) {
        ssize_t written = write(fd, data, len);

        if (written < 0) {
            if (errno == EINTR) {
                continue;
            }
            return -1;
        }
        data += written;
        len -= (size_t)written;
    }
    return 0;
}

static void
close_open_file(FileStorage *self, const char *name)
{
    size_t i;

    for (i = 0; i < self->open_file_count; i++) {
        if (strcmp(self->open_files[i].name, name) == 0) {
            close(self->open_files[i].fd);
            self->open_files[i] = self->open_files[--self->open_file_count];
            return;
        }
    }
}

static OpenFile *
find_or_open_file(FileStorage *self, const char *name)
{
    OpenFile *file;
    size_t i;

    for (i = 0; i < self->open_file_count; i++) {
        if (strcmp(self->open_files[i].name, name) == 0) {
            return &self->open_files[i];
        }
    }
    if (self->open_file_count == MAX_OPEN_FILES) {
        close_open_file(self, self->open_files[0].name);
    }
    file = &self->open_files[self->open_file_count];
    file->fd = openat(self->folder_fd, name,
                      O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (file->fd < 0) {
        return NULL;
    }
    snprintf(file->name, sizeof(file->name), "%s", name);
    file->name_synced = false;
    self->open_file_count++;
    return file;
}

static Status
open_for_writing(FileStorage *self, const char *name, OpenFile **file,
                 ErrCtx *err)
{
    Status status = check_name(self, name, err);

    if (status != ST_OK) {
        return status;
    }
    *file = find_or_open_file(self, name);
    return *file != NULL ? ST_OK
                         : set_error_from_errno(self, name, "open", err);
}

static Status
file_append(Storage *storage, const char *name, const void *data, size_t len,
            ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    OpenFile *file;
    Status status = open_for_writing(self, name, &file, err);

    if (status != ST_OK) {
        return status;
    }
    if (write_all(file->fd, data, len) != 0) {
        return set_error_from_errno(self, name, "write", err);
    }
    return ST_OK;
}

static Status
file_sync(Storage *storage, const char *name, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    OpenFile *file;
    Status status = open_for_writing(self, name, &file, err);

    if (status != ST_OK) {
        return status;
    }
    if (fdatasync(file->fd) != 0) {
        return set_error_from_errno(self, name, "sync", err);
    }
    if (!file->name_synced) {
        if (fsync(self->folder_fd) != 0) {
            return set_error_from_errno(self, ".", "sync", err);
        }
        file->name_synced = true;
    }
    return ST_OK;
}

static Status
file_read(Storage *storage, const char *name, Buf *out, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    Status status = check_name(self, name, err);
    char block[16384];
    ssize_t bytes_read;
    int fd;

    if (status != ST_OK) {
        return status;
    }
    fd = openat(self->folder_fd, name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return set_error_from_errno(self, name, "open", err);
    }
    while ((bytes_read = read(fd, block, sizeof(block))) != 0) {
        if (bytes_read < 0 && errno != EINTR) {
            status = set_error_from_errno(self, name, "read", err);
            break;
        }
        if (bytes_read > 0) {
            Buf_Append(out, block, (size_t)bytes_read);
        }
    }
    close(fd);
    return status;
}

static Status
file_truncate(Storage *storage, const char *name, uint64_t size, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    OpenFile *file;
    Status status = open_for_writing(self, name, &file, err);

    if (status != ST_OK) {
        return status;
    }
    if (ftruncate(file->fd, (off_t)size) != 0 || fsync(file->fd) != 0) {
        return set_error_from_errno(self, name, "truncate", err);
    }
    return ST_OK;
}

static int
write_all_at(int fd, const char *data, size_t len, off_t offset)
{
    while (len > 0) {
        ssize_t written = pwrite(fd, data, len, offset);

        if (written < 0) {
            if (errno == EINTR) {
                continue;
            }
            return -1;
        }
        data += written;
        offset += written;
        len -= (size_t)written;
    }
    return 0;
}

static Status
file_rewrite(Storage *storage, const char *name, uint64_t offset,
             const void *data, size_t len, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    Status status = check_name(self, name, err);
    int fd;

    if (status != ST_OK) {
        return status;
    }
    /* pwrite(2) appends to a file that is open with O_APPEND. */
    fd = openat(self->folder_fd, name, O_WRONLY | O_CLOEXEC);
    if (fd < 0) {
        return set_error_from_errno(self, name, "open", err);
    }
    if (write_all_at(fd, data, len, (off_t)offset) != 0) {
        status = set_error_from_errno(self, name, "write", err);
    }
    else if (fsync(fd) != 0) {
        status = set_error_from_errno(self, name, "sync", err);
    }
    else if (fsync(self->folder_fd) != 0) {
        status = set_error_from_errno(self, ".", "sync", err);
    }
    close(fd);
    return status;
}

static Status
file_replace(Storage *storage, const char *name, const void *data, size_t len,
             ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    Status status = check_name(self, name, err);
    char temp_name[NAME_BYTES];
    int fd;

    if (status != ST_OK) {
        return status;
    }
    snprintf(temp_name, sizeof(temp_name), "%s%s", name, TEMP_SUFFIX);
    fd = openat(self->folder_fd, temp_name,
                O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return set_error_from_errno(self, temp_name, "open", err);
    }
    if (write_all(fd, data, len) != 0) {
        status = set_error_from_errno(self, temp_name, "write", err);
    }
    else if (fsync(fd) != 0) {
        status = set_error_from_errno(self, temp_name, "sync", err);
    }
    if (close(fd) != 0 && status == ST_OK) {
        status = set_error_from_errno(self, temp_name, "close", err);
    }
    if (status == ST_OK &&
        renameat(self->folder_fd, temp_name, self->folder_fd, name) != 0) {
        status = set_error_from_errno(self, temp_name, "rename", err);
    }
    if (status != ST_OK) {
        unlinkat(self->folder_fd, temp_name, 0);
        return status;
    }
    close_open_file(self, name);
    if (fsync(self->folder_fd) != 0) {
        return set_error_from_errno(self, ".", "sync", err);
    }
    return ST_OK;
}

static Status
file_list(Storage *storage, StorageVisitor visit, void *arg, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    DIR *folder = opendir(self->folder);
    struct dirent *entry;

    if (folder == NULL) {
        return set_error_from_errno(self, ".", "list", err);
    }
    while ((entry = readdir(folder)) != NULL) {
        size_t len = strlen(entry->d_name);
        size_t suffix_len = sizeof(TEMP_SUFFIX) - 1;

        if (entry->d_name[0] == '.' || strcmp(entry->d_name, LOCK_NAME) == 0 ||
            (len > suffix_len &&
             strcmp(entry->d_name + len - suffix_len, TEMP_SUFFIX) == 0)) {
            continue;
        }
        visit(arg, entry->d_name);
    }
    closedir(folder);
    return ST_OK;
}

static Status
file_remove(Storage *storage, const char *name, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    Status status = check_name(self, name, err);

    if (status != ST_OK) {
        return status;
    }
    close_open_file(self, name);
    if (unlinkat(self->folder_fd, name, 0) != 0) {
        return set_error_from_errno(self, name, "remove", err);
    }
    if (fsync(self->folder_fd) != 0) {
        return set_error_from_errno(self, ".", "sync", err);
    }
    return ST_OK;
}

static void
file_close(Storage *storage)
{
    FileStorage *self = (FileStorage *)storage;

    while (self->open_file_count > 0) {
        close(self->open_files[--self->open_file_count].fd);
    }
    if (self->lock_fd >= 0) {
        close(self->lock_fd);
    }
    if (self->folder_fd >= 0) {
        close(self->folder_fd);
    }
    free(self->folder);
    free(self);
}

static const StorageOps file_ops = {file_append,   file_sync,    file_read,
                                    file_truncate, file_rewrite, file_replace,
                                    file_list,     file_remove,  file_close};

static Status
lock_folder(FileStorage *self, ErrCtx *err)
{
    struct flock lock = {.l_type = F_WRLCK, .l_whence = SEEK_SET};

    self->lock_fd =
        openat(self->folder_fd, LOCK_NAME, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (self->lock_fd < 0) {
        return set_error_from_errno(self, LOCK_NAME, "open", err);
    }
    if (fcntl(self->lock_fd, F_SETLK, &lock) != 0) {
        if (errno == EACCES || errno == EAGAIN) {
            return Err_Set(err, ST_EXISTS,
                           "%s: another process uses this data folder",
                           self->folder);
        }
        return set_error_from_errno(self, LOCK_NAME, "lock", err);
    }
    return ST_OK;
}

Status
Storage_OpenFolder(const char *folder, bool create, Storage **storage,
                   ErrCtx *err)
{
    FileStorage *self = calloc(1, sizeof(*self));
    Status status = ST_OK;

    if (self == NULL) {
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    self->base.ops = &file_ops;
    self->lock_fd = -1;
    self->folder_fd = -1;
    self->folder = strdup(folder);
    if (self->folder == NULL) {
        file_close(&self->base);
        return Err_Set(err, ST_NO_MEMORY, "out of memory");
    }
    if (create && mkdir(folder, 0700) != 0 && errno != EEXIST) {
        status = set_error_from_errno(self, ".", "create", err);
    }
    if (status == ST_OK) {
        self->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        status = self->folder_fd < 0
                     ? set_error_from_errno(self, ".", "open", err)
                     : lock_folder(self, err);
    }
    if (status != ST_OK) {
        file_close(&self->base);
        return status;
    }
    *storage = &self->base;
    return ST_OK;
}
