#pragma once
/// \file
/// An independent strict reader of JSON for tests: it decodes the text into code points first, then
/// reads it by the grammar of RFC 8259, and shares no code with the product's reader.

#include <cctype>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <set>
#include <stdexcept>
#include <string>

namespace kumquat::test {

class StrictJson
{
public:
    /// True when \p bytes are one JSON value that every strict reader reads alike.
    static bool isValid(const std::string &bytes)
    {
        try {
            StrictJson reader(decode(bytes));
            reader.value(1);
            reader.space();
            return reader.rest_.size() == reader.at_;
        } catch (const std::invalid_argument &) {
            return false;
        }
    }

private:
    static constexpr int deepest = 64;

    explicit StrictJson(std::u32string text) : rest_(std::move(text)) { }

    static void require(bool holds)
    {
        if (!holds) {
            throw std::invalid_argument("not strict JSON");
        }
    }

    static std::u32string decode(const std::string &bytes)
    {
        std::u32string text;
        for (std::size_t i = 0; i < bytes.size();) {
            const auto first = static_cast<unsigned char>(bytes[i++]);
            const int more = first < 0x80 ? 0 : first < 0xe0 ? 1 : first < 0xf0 ? 2 : 3;
            require(first < 0x80 || (first >= 0xc0 && first < 0xf8));
            char32_t point = more == 0 ? first : first & (0x3f >> more);
            for (int k = 0; k < more; ++k) {
                require(i < bytes.size() && (bytes[i] & 0xc0) == 0x80);
                point = point << 6 | (static_cast<unsigned char>(bytes[i++]) & 0x3f);
            }
            static const char32_t smallest[] = { 0, 0x80, 0x800, 0x10000 };
            require(point >= smallest[more] && point <= 0x10ffff && point != 0);
            require(point < 0xd800 || point > 0xdfff);
            text.push_back(point);
        }
        return text;
    }

    char32_t next() { return at_ < rest_.size() ? rest_[at_] : 0; }
    bool take(char32_t c)
    {
        const bool found = next() == c;
        at_ += found ? 1 : 0;
        return found;
    }
    void space()
    {
        while (next() == 0x20 || next() == 0x09 || next() == 0x0a || next() == 0x0d) {
            ++at_;
        }
    }

    void value(int depth)
    {
        space();
        if (next() == U'{' || next() == U'[') {
            require(depth <= deepest);
            take(U'{') ? object(depth) : (take(U'['), list(depth));
        } else if (next() == U'"') {
            (void)string();
        } else if (!word(U"true") && !word(U"false") && !word(U"null")) {
            number();
        }
    }

    void object(int depth)
    {
        std::set<std::u32string> keys;
        space();
        if (take(U'}')) {
            return;
        }
        do {
            space();
            require(keys.insert(string()).second);
            space();
            require(take(U':'));
            value(depth + 1);
            space();
        } while (take(U','));
        require(take(U'}'));
    }

    void list(int depth)
    {
        space();
        if (take(U']')) {
            return;
        }
        do {
            value(depth + 1);
            space();
        } while (take(U','));
        require(take(U']'));
    }

    bool word(const std::u32string &expected)
    {
        const bool found = rest_.compare(at_, expected.size(), expected) == 0;
        at_ += found ? expected.size() : 0;
        return found;
    }

    char32_t hexUnit()
    {
        char32_t unit = 0;
        for (int i = 0; i < 4; ++i) {
            const char32_t c = next();
            require(c != 0 && c < 0x80 && std::isxdigit(static_cast<int>(c)));
            unit = unit * 16 + (c <= U'9' ? c - U'0' : (c | 0x20) - U'a' + 10);
            ++at_;
        }
        return unit;
    }

    char32_t escape()
    {
        const char32_t c = next();
        ++at_;
        switch (c) {
        case U'"':
        case U'\\':
        case U'/':
            return c;
        case U'b':
            return 8;
        case U'f':
            return 12;
        case U'n':
            return 10;
        case U'r':
            return 13;
        case U't':
            return 9;
        default:
            require(c == U'u');
        }
        const char32_t unit = hexUnit();
        if (unit < 0xd800 || unit > 0xdfff) {
            return unit;
        }
        require(unit < 0xdc00 && take(U'\\') && take(U'u'));
        const char32_t low = hexUnit();
        require(low >= 0xdc00 && low <= 0xdfff);
        return 0x10000 + ((unit - 0xd800) << 10) + (low - 0xdc00);
    }

    std::u32string string()
    {
        std::u32string text;
        require(take(U'"'));
        while (!take(U'"')) {
            require(next() >= 0x20);
            text.push_back(take(U'\\') ? escape() : rest_[at_++]);
        }
        return text;
    }

    void digits(std::string &seen)
    {
        require(next() >= U'0' && next() <= U'9');
        while (next() >= U'0' && next() <= U'9') {
            seen.push_back(static_cast<char>(rest_[at_++]));
        }
    }

    void number()
    {
        std::string seen;
        if (take(U'-')) {
            seen = "-";
        }
        const std::size_t whole = seen.size();
        digits(seen);
        require(seen[whole] != '0' || seen.size() == whole + 1);
        if (take(U'.')) {
            seen += '.';
            digits(seen);
        }
        if (take(U'e') || take(U'E')) {
            seen += 'e';
            seen += take(U'-') ? "-" : (take(U'+'), "+");
            digits(seen);
        }
        require(std::isfinite(std::strtod(seen.c_str(), nullptr)));
    }

    std::u32string rest_;
    std::size_t at_ = 0;
};

} // namespace kumquat::test
