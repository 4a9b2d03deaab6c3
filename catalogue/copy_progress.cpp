#include "catalogue/copy_progress.h"

#include "base/base.h"

#include <algorithm>

namespace balsamhook
{

copy_progress::call_token copy_progress::beginCall() const
{
    return m_replacements;
}

bool copy_progress::acceptPage(call_token call, std::uint64_t revision)
{
    if (call != m_replacements || revision < m_revisions.newest) {
        return false;
    }
    m_revisions.newest = revision;
    return true;
}

void copy_progress::onListed(std::uint64_t firstRevision)
{
    BALSAM_ASSERT(firstRevision <= m_revisions.newest);
    m_revisions.completeThrough = std::max(m_revisions.completeThrough, firstRevision);
    m_isListed = true;
    m_isComplete = true;
}

bool copy_progress::acceptChanges(call_token call, std::uint64_t revision)
{
    if (call != m_replacements || revision < m_revisions.completeThrough) {
        return false;
    }
    BALSAM_ASSERT(m_isListed);
    m_revisions.completeThrough = revision;
    m_revisions.newest = std::max(m_revisions.newest, revision);
    return true;
}

bool copy_progress::acceptPeerCopy(const copy_revisions &offered)
{
    if (offered.completeThrough <= m_revisions.newest || offered.newest < offered.completeThrough) {
        return false;
    }
    m_revisions = offered;
    ++m_replacements;
    m_isListed = true;
    m_isComplete = true;
    return true;
}

void copy_progress::onHistoryExpired()
{
    ++m_replacements;
    m_isListed = false;
}

void copy_progress::beginEra()
{
    m_revisions = {};
    ++m_replacements;
    m_isListed = false;
}

void copy_progress::reset()
{
    beginEra();
    m_isComplete = false;
}

bool copy_progress::isListed() const
{
    return m_isListed;
}

bool copy_progress::isComplete() const
{
    return m_isComplete;
}

const copy_revisions &copy_progress::revisions() const
{
    return m_revisions;
}

} // namespace balsamhook
