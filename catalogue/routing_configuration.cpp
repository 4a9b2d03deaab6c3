#include "catalogue/routing_configuration.h"

#include <algorithm>

namespace balsamhook
{

namespace
{

std::string normalizedHost(std::string_view host)
{
    const std::size_t colon = host.find(':');
    std::string name(host.substr(0, colon));
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return name;
}

} // namespace

routing_configuration::routing_configuration(std::uint64_t version,
                                             std::vector<route> routes,
                                             std::unordered_map<std::string, service_settings> services,
                                             caller_limits limits)
    : m_version(version)
    , m_routes(std::move(routes))
    , m_services(std::move(services))
    , m_limits(limits)
{
    BALSAM_ASSERT(version > 0);
    for (std::size_t i = 0; i < m_routes.size(); ++i) {
        m_byHost[normalizedHost(m_routes[i].host)].push_back(i);
    }
    for (auto &[host, indexes] : m_byHost) {
        std::stable_sort(indexes.begin(), indexes.end(), [this](std::size_t left, std::size_t right) {
            return m_routes[left].pathPrefix.size() > m_routes[right].pathPrefix.size();
        });
    }
}

std::uint64_t routing_configuration::version() const
{
    return m_version;
}

const std::vector<route> &routing_configuration::routes() const
{
    return m_routes;
}

const caller_limits &routing_configuration::limits() const
{
    return m_limits;
}

const route *routing_configuration::findRoute(std::string_view host, std::string_view path) const
{
    const auto found = m_byHost.find(normalizedHost(host));
    if (found == m_byHost.end()) {
        return nullptr;
    }
    for (const std::size_t index : found->second) {
        if (path.substr(0, m_routes[index].pathPrefix.size()) == m_routes[index].pathPrefix) {
            return &m_routes[index];
        }
    }
    return nullptr;
}

unsigned routing_configuration::minConnectionLimit() const
{
    unsigned smallest = 0;
    for (const auto &[name, service] : m_services) {
        const bool isSmaller = service.maxConnections > 0 && (smallest == 0 || service.maxConnections < smallest);
        smallest = isSmaller ? service.maxConnections : smallest;
    }
    return smallest;
}

const service_settings *routing_configuration::findService(const std::string &name) const
{
    const auto found = m_services.find(name);
    return found == m_services.end() ? nullptr : &found->second;
}

} // namespace balsamhook
