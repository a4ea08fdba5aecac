// Counters of the shared report merge by maximum, independent of the order and number of copies.

#include "report/PartJson.h"
#include "report/ReportView.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

namespace hemlockweir {

static ReportPart genPart()
{
    ReportPart part { .id = { .node = "n1", .incarnation = 7 }, .updatedMs = *rc::gen::inRange(0, 1000), .service = {}, .waste = {} };
    const int rows = *rc::gen::inRange(0, 5);
    for (int i = 0; i < rows; ++i) {
        const ServiceRow row { .caller = *rc::gen::element<std::string>("a", "b"), .priority = *rc::gen::element<std::string>("p", "q"), .whole = *rc::gen::inRange<uint64_t>(0, 100), .late = *rc::gen::inRange<uint64_t>(0, 100), .tokens = *rc::gen::inRange<uint64_t>(0, 100) };
        part = mergeParts(part, { .id = part.id, .updatedMs = 0, .service = { row }, .waste = {} });
    }
    const WasteRow waste { .cause = *rc::gen::element<std::string>("member_lost", "loading"), .strandedMs = *rc::gen::inRange<uint64_t>(0, 100), .downtimeMs = *rc::gen::inRange<uint64_t>(0, 100) };
    return mergeParts(part, { .id = part.id, .updatedMs = 0, .service = {}, .waste = { waste } });
}

TEST(CounterTable, MergesInAnyOrderAndNumber)
{
    EXPECT_TRUE(rc::check([] {
        const ReportPart a = genPart();
        const ReportPart b = genPart();
        const ReportPart c = genPart();
        RC_ASSERT(mergeParts(a, b) == mergeParts(b, a));
        RC_ASSERT(mergeParts(mergeParts(a, b), c) == mergeParts(a, mergeParts(b, c)));
        RC_ASSERT(mergeParts(a, a) == a);
        RC_ASSERT(mergeParts(mergeParts(a, b), b) == mergeParts(a, b));
        const ReportTotals before = sumParts({ a });
        const ReportTotals after = sumParts({ mergeParts(a, b) });
        for (const ServiceRow& row : before.byCaller) {
            const auto merged = std::find_if(after.byCaller.begin(), after.byCaller.end(), [&](const ServiceRow& other) { return other.caller == row.caller; });
            RC_ASSERT(merged != after.byCaller.end());
            RC_ASSERT(totalRequests(*merged) >= totalRequests(row));
        }
    }));
}

// Copies of a node's counters may arrive late, twice and out of order. The newest one decides.
TEST(CounterTable, EndsAtTheOwnersFiguresWhateverCopiesArrive)
{
    EXPECT_TRUE(rc::check([] {
        const PartId own { .node = "n1", .incarnation = 7 };
        CounterTable owner;
        std::vector<ReportPart> copies;
        const int requests = *rc::gen::inRange(1, 30);
        for (int i = 0; i < requests; ++i) {
            owner.count(own, { .caller = *rc::gen::element<std::string>("a", "b"), .priority = "p", .end = *rc::gen::element(RequestEnd::Whole, RequestEnd::Refused, RequestEnd::Late), .tokens = 3 }, i);
            copies.push_back(owner.part(own));
        }
        CounterTable reader;
        const auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, requests));
        for (const int at : order)
            reader.merge(copies[static_cast<size_t>(at)]);
        reader.merge(copies.back());
        for (const int at : order)
            RC_ASSERT(!reader.merge(copies[static_cast<size_t>(at)]));
        RC_ASSERT(reader.parts() == owner.parts());
        RC_ASSERT(totalRequests(sumParts(reader.parts()).byPriority.front()) == static_cast<uint64_t>(requests));
    }));
}

TEST(CounterTable, ReadsWhatItWroteAndNothingElse)
{
    EXPECT_TRUE(rc::check([] {
        const ReportPart part = genPart();
        const absl::StatusOr<ReportPart> read = parsePart(formatPart(part));
        RC_ASSERT(read.ok());
        RC_ASSERT(*read == part);
    }));
    for (const char* bad : { "", "[]", "{}", R"({"node":"n","incarnation":-1,"updated_ms":0,"service":[],"waste":[]})", R"({"node":"n","incarnation":1,"updated_ms":0,"service":[{"caller":"a"}],"waste":[]})", R"({"node":"n","incarnation":1.5,"updated_ms":0,"service":[],"waste":[]})" })
        EXPECT_FALSE(parsePart(QByteArray(bad)).ok()) << bad;
}

TEST(CounterTable, WritesAPageThatEscapesNames)
{
    ReportPart part { .id = { .node = "n1", .incarnation = 7 }, .service = { ServiceRow { .caller = "<script>", .priority = "p", .whole = 1 } }, .waste = {} };
    const std::string page = formatReportHtml({ .parts = { part }, .sources = {}, .nowMs = 0 });
    EXPECT_EQ(page.find("<script>"), std::string::npos);
    EXPECT_NE(page.find("<svg"), std::string::npos);
}

} // namespace hemlockweir
