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
#define OPEN_FILES 4

typedef struct OpenFile {
    char name[NAME_BYTES];
    int fd;
    bool name_synced; /* the folder was synced after the file was created */
} OpenFile;

/* Keeps descriptors of appended files open, since every sync needs one. */
typedef struct FileStorage {
    Storage base;
    char *folder;
    int folder_fd;
    int lock_fd;
    OpenFile open[OPEN_FILES];
    size_t open_count;
} FileStorage;

static Status
fail(const FileStorage *self, const char *name, const char *what, ErrCtx *err)
{
    int code = errno;
    Status status = ST_IO;

    if (code == ENOENT) {
        status = ST_NOT_FOUND;
    }
    else if (code == ENOSPC || code == EDQUOT) {
        status = ST_FULL;
    }
    return Err_Set(err, status, "%s/%s: %s failed: %s", self->folder, name,
                   what, strerror(code));
}

static Status
check_name(const FileStorage *self, const char *name, ErrCtx *err)
{
    if (name[0] == '\0' || name[0] == '.' || strchr(name, '/') != NULL ||
        strlen(name) + sizeof(TEMP_SUFFIX) > NAME_BYTES) {
        return Err_Set(err, ST_INVALID, "%s: bad file name '%s'", self->folder,
                       name);
    }
    return ST_OK;
}

static int
write_all(int fd, const char *data, size_t len)
{
    while (len > 0) {
        ssize_t done = write(fd, data, len);

        if (done < 0) {
            if (errno == EINTR) {
                continue;
            }
            return -1;
        }
        data += done;
        len -= (size_t)done;
    }
    return 0;
}

static void
forget_open(FileStorage *self, const char *name)
{
    size_t i;

    for (i = 0; i < self->open_count; i++) {
        if (strcmp(self->open[i].name, name) == 0) {
            close(self->open[i].fd);
            self->open[i] = self->open[--self->open_count];
            return;
        }
    }
}

static OpenFile *
find_open(FileStorage *self, const char *name)
{
    OpenFile *file;
    size_t i;

    for (i = 0; i < self->open_count; i++) {
        if (strcmp(self->open[i].name, name) == 0) {
            return &self->open[i];
        }
    }
    if (self->open_count == OPEN_FILES) {
        forget_open(self, self->open[0].name);
    }
    file = &self->open[self->open_count];
    file->fd = openat(self->folder_fd, name,
                      O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, 0600);
    if (file->fd < 0) {
        return NULL;
    }
    snprintf(file->name, sizeof(file->name), "%s", name);
    file->name_synced = false;
    self->open_count++;
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
    *file = find_open(self, name);
    return *file != NULL ? ST_OK : fail(self, name, "open", err);
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
        return fail(self, name, "write", err);
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
        return fail(self, name, "sync", err);
    }
    if (!file->name_synced) {
        if (fsync(self->folder_fd) != 0) {
            return fail(self, ".", "sync", err);
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
    ssize_t done;
    int fd;

    if (status != ST_OK) {
        return status;
    }
    fd = openat(self->folder_fd, name, O_RDONLY | O_CLOEXEC);
    if (fd < 0) {
        return fail(self, name, "open", err);
    }
    while ((done = read(fd, block, sizeof(block))) != 0) {
        if (done < 0 && errno != EINTR) {
            status = fail(self, name, "read", err);
            break;
        }
        if (done > 0) {
            Buf_Append(out, block, (size_t)done);
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
        return fail(self, name, "truncate", err);
    }
    return ST_OK;
}

static Status
file_replace(Storage *storage, const char *name, const void *data, size_t len,
             ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    Status status = check_name(self, name, err);
    char temp[NAME_BYTES];
    int fd;

    if (status != ST_OK) {
        return status;
    }
    snprintf(temp, sizeof(temp), "%s%s", name, TEMP_SUFFIX);
    fd = openat(self->folder_fd, temp,
                O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0600);
    if (fd < 0) {
        return fail(self, temp, "open", err);
    }
    if (write_all(fd, data, len) != 0) {
        status = fail(self, temp, "write", err);
    }
    else if (fsync(fd) != 0) {
        status = fail(self, temp, "sync", err);
    }
    if (close(fd) != 0 && status == ST_OK) {
        status = fail(self, temp, "close", err);
    }
    if (status == ST_OK &&
        renameat(self->folder_fd, temp, self->folder_fd, name) != 0) {
        status = fail(self, temp, "rename", err);
    }
    if (status != ST_OK) {
        unlinkat(self->folder_fd, temp, 0);
        return status;
    }
    forget_open(self, name);
    if (fsync(self->folder_fd) != 0) {
        return fail(self, ".", "sync", err);
    }
    return ST_OK;
}

static Status
file_list(Storage *storage, StorageVisit visit, void *arg, ErrCtx *err)
{
    FileStorage *self = (FileStorage *)storage;
    DIR *folder = opendir(self->folder);
    struct dirent *item;

    if (folder == NULL) {
        return fail(self, ".", "list", err);
    }
    while ((item = readdir(folder)) != NULL) {
        size_t len = strlen(item->d_name);
        size_t suffix = sizeof(TEMP_SUFFIX) - 1;

        if (item->d_name[0] == '.' || strcmp(item->d_name, LOCK_NAME) == 0 ||
            (len > suffix &&
             strcmp(item->d_name + len - suffix, TEMP_SUFFIX) == 0)) {
            continue;
        }
        visit(arg, item->d_name);
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
    forget_open(self, name);
    if (unlinkat(self->folder_fd, name, 0) != 0) {
        return fail(self, name, "remove", err);
    }
    if (fsync(self->folder_fd) != 0) {
        return fail(self, ".", "sync", err);
    }
    return ST_OK;
}

static void
file_close(Storage *storage)
{
    FileStorage *self = (FileStorage *)storage;

    while (self->open_count > 0) {
        close(self->open[--self->open_count].fd);
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
                                    file_truncate, file_replace, file_list,
                                    file_remove,   file_close};

static Status
lock_folder(FileStorage *self, ErrCtx *err)
{
    struct flock lock = {.l_type = F_WRLCK, .l_whence = SEEK_SET};

    self->lock_fd =
        openat(self->folder_fd, LOCK_NAME, O_RDWR | O_CREAT | O_CLOEXEC, 0600);
    if (self->lock_fd < 0) {
        return fail(self, LOCK_NAME, "open", err);
    }
    if (fcntl(self->lock_fd, F_SETLK, &lock) != 0) {
        if (errno == EACCES || errno == EAGAIN) {
            return Err_Set(err, ST_EXISTS,
                           "%s: another process uses this folder",
                           self->folder);
        }
        return fail(self, LOCK_NAME, "lock", err);
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
        status = fail(self, ".", "create", err);
    }
    if (status == ST_OK) {
        self->folder_fd = open(folder, O_RDONLY | O_DIRECTORY | O_CLOEXEC);
        status = self->folder_fd < 0 ? fail(self, ".", "open", err)
                                     : lock_folder(self, err);
    }
    if (status != ST_OK) {
        file_close(&self->base);
        return status;
    }
    *storage = &self->base;
    return ST_OK;
}
