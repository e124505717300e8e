#include "storage.h"

void
Storage_Close(Storage *storage)
{
    if (storage != NULL) {
        storage->ops->close(storage);
    }
}

Status
Storage_Append(Storage *storage, const char *name, const void *data,
               size_t len, ErrCtx *err)
{
    return storage->ops->append(storage, name, data, len, err);
}

Status
Storage_Sync(Storage *storage, const char *name, ErrCtx *err)
{
    return storage->ops->sync(storage, name, err);
}

Status
Storage_Read(Storage *storage, const char *name, Buf *out, ErrCtx *err)
{
    return storage->ops->read(storage, name, out, err);
}

Status
Storage_Truncate(Storage *storage, const char *name, uint64_t size,
                 ErrCtx *err)
{
    return storage->ops->truncate(storage, name, size, err);
}

Status
Storage_Rewrite(Storage *storage, const char *name, uint64_t offset,
                const void *data, size_t len, ErrCtx *err)
{
    return storage->ops->rewrite(storage, name, offset, data, len, err);
}

Status
Storage_Replace(Storage *storage, const char *name, const void *data,
                size_t len, ErrCtx *err)
{
    return storage->ops->replace(storage, name, data, len, err);
}

Status
Storage_List(Storage *storage, StorageVisitor visit, void *arg, ErrCtx *err)
{
    return storage->ops->list(storage, visit, arg, err);
}

Status
Storage_Remove(Storage *storage, const char *name, ErrCtx *err)
{
    return storage->ops->remove(storage, name, err);
}
